package loftflow.upstream.http;

import loftflow.http.Headers;

/**
 * The names and bounds of the protocol that relays speak to hosts (PROTOCOL, "Relays to hosts"): paths, headers, JSON
 * fields and message states, mapped to this project's terms. Nothing else in the package spells them.
 */
final class HostProtocol {
    /** Path of a call that carries a single message. */
    static final String SINGLE_PATH = "/receive";
    /** Path of a call that carries several messages. */
    static final String BATCH_PATH = "/receive-many";
    /** Path of a health check. */
    static final String HEALTH_PATH = "/-/healthy";
    /** Path of a health check whose response body is a load report. */
    static final String LOAD_PATH = "/-/load";

    /** Content type of the body of a batch. */
    static final String BATCH_CONTENT_TYPE = "application/json";
    /** Largest request body that a host accepts, and largest response body that the relay reads. */
    static final int MAX_BODY_BYTES = 64 << 10;

    /** Request header: the message's id. */
    static final String MESSAGE_ID_HEADER = Headers.CALL_ID;
    /** Request header: the message's idempotency key. */
    static final String IDEMPOTENCY_KEY_HEADER = Headers.KEY;
    /** Request header: how long the relay still waits for the response, in whole milliseconds. */
    static final String TIMEOUT_MILLIS_HEADER = Headers.BUDGET;
    /** Response header: the time in whole milliseconds for which the host wants no more calls. */
    static final String RETRY_AFTER_MILLIS_HEADER = Headers.COME_BACK;
    /**
     * Response header of a 503: {@link #CONCURRENCY_LIMITED} where the relay's own concurrent calls were the reason.
     */
    static final String CONCURRENCY_LIMITED_HEADER = Headers.LINE_BUSY;
    /** Response header: the host's load report. */
    static final String LOAD_REPORT_HEADER = Headers.LOAD_REPORT;

    /** Value of {@link #CONCURRENCY_LIMITED_HEADER} where all concurrent calls of this relay were in use. */
    static final String CONCURRENCY_LIMITED = "1";

    /** Batch field: the message's id, in requests and responses. */
    static final String MESSAGE_ID_FIELD = "id";
    /** Batch field of a request: the idempotency key, left out where the message has none. */
    static final String IDEMPOTENCY_KEY_FIELD = "key";
    /** Batch field of a request: the message's body, in Base64. */
    static final String BODY_FIELD = "body";
    /** Batch field of a response: the outcome of one message, one of the {@code STATE_} values. */
    static final String STATE_FIELD = "state";

    /** The message was delivered. */
    static final String STATE_DELIVERED = "done";
    /** The message may have run. */
    static final String STATE_FAILED = "failed";
    /** The message was rejected and never ran. */
    static final String STATE_REJECTED = "busy";
    /** The message was withdrawn or is past its deadline; it never ran and nothing more is owed for it. */
    static final String STATE_EXPIRED = "void";
    /** The message has had all its attempts; this one never ran. */
    static final String STATE_ATTEMPTS_EXHAUSTED = "used_up";

    /** What a load report starts with, as a pattern. */
    static final String LOAD_REPORT_PREFIX_PATTERN = "^TEXT\\s";
    /** Load report field: the share of the limit that is left. */
    static final String REMAINING_SHARE_FIELD = "x0";
    /** Load report field: the limit in calls per second. */
    static final String LIMIT_PER_SECOND_FIELD = "x1";

    private HostProtocol() {}
}
