package pipitstage;

/** A line of the wire that cannot be read; the message says what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
