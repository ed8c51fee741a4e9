package loftflow.experiment.emulator;

import java.util.ArrayDeque;

/**
 * A sliding-window rate limit: the number of calls in the last second is bounded. One limit serves either all endpoints
 * of a partner or a single endpoint. Not thread-safe.
 */
public final class EmulatedRateLimit {
    private static final long WINDOW_MICROS = 1_000_000;

    private final ArrayDeque<Long> countedAtMicros = new ArrayDeque<>();
    private final double configuredRate;
    private final boolean countsRejections;
    /** The limit in effect, which faults may lower below the configured one. */
    private double ratePerSecond;

    /**
     * Creates a limit.
     *
     * @param ratePerSecond calls a second; 0 for no limit
     * @param countsRejections whether rejected calls use up the limit as well
     */
    public EmulatedRateLimit(double ratePerSecond, boolean countsRejections) {
        configuredRate = ratePerSecond;
        this.ratePerSecond = ratePerSecond;
        this.countsRejections = countsRejections;
    }

    /**
     * Counts a call and returns whether it is admitted.
     *
     * @param limitShare the share of the configured limit that is in effect
     */
    boolean tryAcquire(long nowMicros, double limitShare) {
        ratePerSecond = configuredRate * limitShare;
        while (!countedAtMicros.isEmpty() && nowMicros - countedAtMicros.peek() >= WINDOW_MICROS) {
            countedAtMicros.poll();
        }
        boolean admitted = configuredRate == 0 || countedAtMicros.size() < Math.max(1, ratePerSecond);
        if (admitted || countsRejections) {
            countedAtMicros.add(nowMicros);
        }
        return admitted;
    }

    /** The unused share of the limit, from 0 to 1. */
    public double remainingShare() {
        return Math.max(0, 1 - countedAtMicros.size() / Math.max(1, ratePerSecond));
    }

    /** The limit in effect, in calls a second. */
    public double ratePerSecond() {
        return ratePerSecond;
    }
}
