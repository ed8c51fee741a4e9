package loftflow.http;

/** Names of headers that carry a message over HTTP/1.1, to a relay and from it (PROTOCOL). */
public final class Headers {
    /** A message's id. */
    public static final String CALL_ID = "X-Call-Id";
    /** The key by which a partner drops repeats. */
    public static final String KEY = "Idempotency-Key";
    /** Whole milliseconds that are left. */
    public static final String BUDGET = "X-Budget-Ms";
    /** A message's class. */
    public static final String CALL_CLASS = "X-Call-Class";
    /** The tenant. */
    public static final String CALLER = "X-Caller";
    /** The destination, as {@code dest=7}. */
    public static final String CONSIGNEE = "X-Consignee";
    /** What a partner tells of its limit. */
    public static final String LOAD_REPORT = "X-Load-Report";
    /** Whole milliseconds for which a partner wants nothing more. */
    public static final String COME_BACK = "X-Come-Back-Ms";
    /** {@code 1} where the call was not sent, since all slots of this relay were taken. */
    public static final String LINE_BUSY = "X-Line-Busy";

    private Headers() {}
}
