package loftflow.protocol;

/**
 * The names and limits in the HTTP protocol between relays and hosts (PROTOCOL, "Relays to hosts"): paths, headers,
 * JSON fields and message states. Other classes use these constants and never repeat the names.
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
    /** Maximum size of a request body that a host accepts, in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    /** Request header: the message id. */
    public static final String MESSAGE_ID_HEADER = MessageHeaders.MESSAGE_ID;
    /** Request header: the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = MessageHeaders.IDEMPOTENCY_KEY;
    /** Request header: the remaining time for which the relay waits for the response, in whole milliseconds. */
    public static final String TIMEOUT_MILLIS_HEADER = MessageHeaders.TIMEOUT_MILLIS;
    /** Response header: the time for which the host asks to receive no calls, in whole milliseconds. */
    public static final String RETRY_AFTER_MILLIS_HEADER = MessageHeaders.RETRY_AFTER_MILLIS;
    /** Response header of a 503: {@link #CONCURRENCY_LIMITED} if this relay's concurrent calls were the reason. */
    public static final String CONCURRENCY_LIMITED_HEADER = MessageHeaders.CONCURRENCY_LIMITED;
    /** Response header: the host's load report. */
    public static final String LOAD_REPORT_HEADER = MessageHeaders.LOAD_REPORT;

    /** Value of {@link #CONCURRENCY_LIMITED_HEADER} if this relay had used up its concurrent calls. */
    public static final String CONCURRENCY_LIMITED = "1";

    /** Batch field: the message id, in requests and responses. */
    public static final String MESSAGE_ID_FIELD = "id";
    /** Batch field of a request: the idempotency key; absent if the message has none. */
    public static final String IDEMPOTENCY_KEY_FIELD = "key";
    /** Batch field of a request: the message body, in Base64. */
    public static final String BODY_FIELD = "body";
    /** Batch field of a response: the outcome of one message, one of the {@code STATE_} values. */
    public static final String STATE_FIELD = "state";

    /** The message was delivered. */
    public static final String STATE_DELIVERED = "done";
    /** The message may have been executed. */
    public static final String STATE_FAILED = "failed";
    /** The message was rejected and not executed. */
    public static final String STATE_REJECTED = "busy";
    /** The message was withdrawn or is past its deadline; it was not executed and needs no further attempt. */
    public static final String STATE_EXPIRED = "void";
    /** The message has used up its attempts; this one was not executed. */
    public static final String STATE_ATTEMPTS_EXHAUSTED = "used_up";

    /** Pattern that matches the start of a load report. */
    public static final String LOAD_REPORT_PREFIX_PATTERN = "^TEXT\\s";
    /** Load report field: the unused share of the limit. */
    public static final String REMAINING_SHARE_FIELD = "x0";
    /** Load report field: the limit in calls per second. */
    public static final String LIMIT_PER_SECOND_FIELD = "x1";

    private HostProtocol() {}
}
