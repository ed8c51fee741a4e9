package loftflow.policy.api;

/**
 * State of a rate limit as reported by the destination.
 *
 * @param remainingShare remaining share of the limit, 0 to 1; NaN if not reported
 * @param limitPerSecond calls per second for all relays together; NaN if not reported
 */
public record LimitReport(double remainingShare, double limitPerSecond) {
    /** Nothing was reported. */
    public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
}
