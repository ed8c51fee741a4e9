package loftflow.discovery;

import java.util.SplittableRandom;

/**
 * Determines the delays between failed attempts. Delays are either constant or grow exponentially up to a maximum; in
 * the latter case up to half of each delay is random, so that the clients of a recovered service do not all retry at
 * once.
 */
public final class Backoff {
    private final long firstDelayMillis;
    private final long maxDelayMillis;
    /** The source of jitter; null for constant delays. */
    private final SplittableRandom random;

    private long baseDelayMillis;

    private Backoff(long firstDelayMillis, long maxDelayMillis, SplittableRandom random) {
        this.firstDelayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
        baseDelayMillis = firstDelayMillis;
    }

    /** Returns a back-off with a constant delay. */
    public static Backoff constant(long delayMillis) {
        return new Backoff(delayMillis, delayMillis, null);
    }

    /**
     * Returns a back-off with exponential delays.
     *
     * @param firstDelayMillis the upper bound of the first delay; each delay is at least half of its upper bound
     * @param maxDelayMillis the upper bound of all delays
     * @param seed the seed of the jitter, which must differ between clients
     */
    public static Backoff exponential(long firstDelayMillis, long maxDelayMillis, long seed) {
        return new Backoff(firstDelayMillis, maxDelayMillis, new SplittableRandom(seed));
    }

    /** Returns the delay before the next attempt, and advances to the delay after it. */
    long nextDelayMillis() {
        long delayMillis = baseDelayMillis;
        baseDelayMillis = Math.min(maxDelayMillis, 2 * baseDelayMillis);
        return random == null ? delayMillis : delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
    }

    /** Restarts with the first delay after a successful attempt. */
    void reset() {
        baseDelayMillis = firstDelayMillis;
    }
}
