package loftflow.protocol;

/** Names of completion notices (PROTOCOL, Notices), which stand in replies over AMQP and in the completion log too. */
public final class CompletionProtocol {
    /** Where the platform receives notices, by POST. */
    public static final String NOTICE_PATH = "/status";

    /** The message's id. */
    public static final String MESSAGE_ID = "ref";
    /** How the message ended, one of the {@code RESULT_} values. */
    public static final String RESULT = "result";
    /** When a rejected message may be handed in again, in whole milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "wait_ms";

    /** The message failed; whether it took effect is not reported. */
    public static final String RESULT_FAILED = "dead";
    /** The message was rejected; handing it in again is safe. */
    public static final String RESULT_REJECTED = "bounced";
    /** The message was delivered. */
    public static final String RESULT_DELIVERED = "done";

    /** Completion log only: the message's class. */
    public static final String REQUEST_CLASS = "class";
    /** Completion log only: the number of the message's destination. */
    public static final String DESTINATION = "dest";
    /** Completion log only: how many attempts were made. */
    public static final String ATTEMPTS = "attempts";

    private CompletionProtocol() {}
}
