package loftflow.upstream.http;

/**
 * The end of the back-off that a destination or an independent route requested. The pools of a destination share it
 * unless its routes are independent.
 */
final class RetryAfterDeadline {
    private long notBeforeMicros;

    void extendTo(long untilMicros) {
        notBeforeMicros = Math.max(notBeforeMicros, untilMicros);
    }

    boolean isInForce(long nowMicros) {
        return nowMicros < notBeforeMicros;
    }
}
