package loftflow.protocol;

/** The names in completion notices (PROTOCOL, Notices), which replies over AMQP and the completion log use as well. */
public final class CompletionProtocol {
    /** Path to which notices are posted. */
    public static final String NOTICE_PATH = "/status";

    /** The message id. */
    public static final String MESSAGE_ID = "ref";
    /** The result of the message, one of the {@code RESULT_} values. */
    public static final String RESULT = "result";
    /** The time after which a rejected message may be sent again, in whole milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "wait_ms";

    /** The message failed; it may or may not have been executed. */
    public static final String RESULT_FAILED = "dead";
    /** The message was rejected; sending it again is safe. */
    public static final String RESULT_REJECTED = "bounced";
    /** The message was delivered. */
    public static final String RESULT_DELIVERED = "done";

    /** Completion log only: the request class. */
    public static final String REQUEST_CLASS = "class";
    /** Completion log only: the number of the destination. */
    public static final String DESTINATION = "dest";
    /** Completion log only: the number of attempts. */
    public static final String ATTEMPTS = "attempts";

    private CompletionProtocol() {}
}
