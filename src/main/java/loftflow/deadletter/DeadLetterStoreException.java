package loftflow.deadletter;

/** A store that fails; the message is for operators. */
public final class DeadLetterStoreException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public DeadLetterStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
