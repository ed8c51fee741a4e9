package loftflow.json;

/** A line of the wire that cannot be read; the message says what is wrong and where. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String message) {
        super(message);
    }
}
