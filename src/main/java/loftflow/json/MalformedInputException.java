package loftflow.json;

/** Thrown if input does not have the expected structure; the message names the place and the fault. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String message) {
        super(message);
    }
}
