package loftflow.json;

/** Input that can't be read as what is expected; the message says what is wrong and where. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String message) {
        super(message);
    }
}
