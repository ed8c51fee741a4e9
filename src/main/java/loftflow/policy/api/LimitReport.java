package loftflow.policy.api;

/**
 * What a destination reported of its rate limit.
 *
 * @param remainingShare of the limit, 0 to 1; NaN where it was not reported
 * @param limitPerSecond calls a second for all relays together; NaN where it was not reported
 */
public record LimitReport(double remainingShare, double limitPerSecond) {
    /** Nothing was reported. */
    public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
}
