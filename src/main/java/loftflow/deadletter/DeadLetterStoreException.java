package loftflow.deadletter;

/** Failure of a dead-letter store. The message is written for operators. */
public final class DeadLetterStoreException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public DeadLetterStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
