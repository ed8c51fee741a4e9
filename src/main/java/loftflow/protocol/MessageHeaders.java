package loftflow.protocol;

/** Header names in the HTTP protocols between clients and relays and between relays and hosts. */
public final class MessageHeaders {
    /** Both protocols: the message id. */
    public static final String MESSAGE_ID = "X-Call-Id";
    /** Both protocols: the idempotency key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** Both protocols: the remaining time for delivery, in whole milliseconds. */
    public static final String TIMEOUT_MILLIS = "X-Budget-Ms";
    /** Client protocol: the request class. */
    public static final String REQUEST_CLASS = "X-Call-Class";
    /** Client protocol: the tenant. */
    public static final String TENANT = "X-Caller";
    /** Client protocol: the destination, in the form {@code dest=7}. */
    public static final String DESTINATION = "X-Consignee";
    /** Host protocol, response: the upstream's rate limit and load. */
    public static final String LOAD_REPORT = "X-Load-Report";
    /** Host protocol, response: Retry-After, in whole milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "X-Come-Back-Ms";
    /** Host protocol, response: {@code 1} if the call was not sent because this relay's call limit is reached. */
    public static final String CONCURRENCY_LIMITED = "X-Line-Busy";

    private MessageHeaders() {}
}
