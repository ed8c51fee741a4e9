package loftflow.policy.api;

/** What a destination told of its limit: the share left and the calls a second, NaN where untold. */
public record LimitReport(double remainingShare, double limitPerSecond) {
    /** Nothing was told. */
    public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
}
