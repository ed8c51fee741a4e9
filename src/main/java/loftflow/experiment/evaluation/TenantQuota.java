package loftflow.experiment.evaluation;

/** A token bucket that tells which messages of a tenant are within its quota; it holds one second of the rate. */
final class TenantQuota {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final double ratePerSecond;
    private double tokens;
    private long updatedAtMicros;

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond messages a second; 0 for no quota
     */
    TenantQuota(double ratePerSecond) {
        this.ratePerSecond = ratePerSecond;
        tokens = ratePerSecond;
    }

    /** Takes a token for a message and returns whether there was one. */
    boolean tryAcquire(long nowMicros) {
        if (ratePerSecond == 0) {
            return true;
        }
        double refilled = tokens + ratePerSecond * (nowMicros - updatedAtMicros) / MICROS_PER_SECOND;
        tokens = Math.min(Math.max(1, ratePerSecond), refilled);
        updatedAtMicros = nowMicros;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
