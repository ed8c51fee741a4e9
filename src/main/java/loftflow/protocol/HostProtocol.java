package loftflow.protocol;

/**
 * The names and bounds of the protocol that relays speak to hosts (PROTOCOL, "Relays to hosts"): paths, headers, JSON
 * fields and message states, mapped to this project's terms. Nothing else spells them.
 */
public final class HostProtocol {
    /** Path of a call that carries a single message. */
    public static final String SINGLE_PATH = "/receive";
    /** Path of a call that carries several messages. */
    public static final String BATCH_PATH = "/receive-many";
    /** Path of a health check. */
    public static final String HEALTH_PATH = "/-/healthy";
    /** Path of a health check whose response body is a load report. */
    public static final String LOAD_PATH = "/-/load";

    /** Content type of the body of a batch. */
    public static final String BATCH_CONTENT_TYPE = "application/json";
    /** Largest request body that a host accepts. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    /** Request header: the message's id. */
    public static final String MESSAGE_ID_HEADER = MessageHeaders.MESSAGE_ID;
    /** Request header: the message's idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = MessageHeaders.IDEMPOTENCY_KEY;
    /** Request header: how long the relay still waits for the response, in whole milliseconds. */
    public static final String TIMEOUT_MILLIS_HEADER = MessageHeaders.TIMEOUT_MILLIS;
    /** Response header: the time in whole milliseconds for which the host wants no more calls. */
    public static final String RETRY_AFTER_MILLIS_HEADER = MessageHeaders.RETRY_AFTER_MILLIS;
    /**
     * Response header of a 503: {@link #CONCURRENCY_LIMITED} where the relay's own concurrent calls were the reason.
     */
    public static final String CONCURRENCY_LIMITED_HEADER = MessageHeaders.CONCURRENCY_LIMITED;
    /** Response header: the host's load report. */
    public static final String LOAD_REPORT_HEADER = MessageHeaders.LOAD_REPORT;

    /** Value of {@link #CONCURRENCY_LIMITED_HEADER} where all concurrent calls of this relay were in use. */
    public static final String CONCURRENCY_LIMITED = "1";

    /** Batch field: the message's id, in requests and responses. */
    public static final String MESSAGE_ID_FIELD = "id";
    /** Batch field of a request: the idempotency key, left out where the message has none. */
    public static final String IDEMPOTENCY_KEY_FIELD = "key";
    /** Batch field of a request: the message's body, in Base64. */
    public static final String BODY_FIELD = "body";
    /** Batch field of a response: the outcome of one message, one of the {@code STATE_} values. */
    public static final String STATE_FIELD = "state";

    /** The message was delivered. */
    public static final String STATE_DELIVERED = "done";
    /** The message may have run. */
    public static final String STATE_FAILED = "failed";
    /** The message was rejected and never ran. */
    public static final String STATE_REJECTED = "busy";
    /** The message was withdrawn or is past its deadline; it never ran and nothing more is owed for it. */
    public static final String STATE_EXPIRED = "void";
    /** The message has had all its attempts; this one never ran. */
    public static final String STATE_ATTEMPTS_EXHAUSTED = "used_up";

    /** What a load report starts with, as a pattern. */
    public static final String LOAD_REPORT_PREFIX_PATTERN = "^TEXT\\s";
    /** Load report field: the share of the limit that is left. */
    public static final String REMAINING_SHARE_FIELD = "x0";
    /** Load report field: the limit in calls per second. */
    public static final String LIMIT_PER_SECOND_FIELD = "x1";

    private HostProtocol() {}
}
