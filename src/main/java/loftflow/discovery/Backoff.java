package loftflow.discovery;

import java.util.SplittableRandom;

/**
 * Delays between attempts that fail: either the same each time, or doubled up to a bound with a random part of up to
 * half, so that the clients of a service that failed do not all return to it at once.
 */
public final class Backoff {
    private final long firstDelayMillis;
    private final long maxDelayMillis;
    /** Null for delays without a random part. */
    private final SplittableRandom random;

    private long baseDelayMillis;

    private Backoff(long firstDelayMillis, long maxDelayMillis, SplittableRandom random) {
        this.firstDelayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.random = random;
        baseDelayMillis = firstDelayMillis;
    }

    /** The same delay each time. */
    public static Backoff constant(long delayMillis) {
        return new Backoff(delayMillis, delayMillis, null);
    }

    /** Delays from half of {@code firstDelayMillis} up to {@code maxDelayMillis}; each client has its own seed. */
    public static Backoff exponential(long firstDelayMillis, long maxDelayMillis, long seed) {
        return new Backoff(firstDelayMillis, maxDelayMillis, new SplittableRandom(seed));
    }

    /** The delay before the next attempt. */
    long nextDelayMillis() {
        long delayMillis = baseDelayMillis;
        baseDelayMillis = Math.min(maxDelayMillis, 2 * baseDelayMillis);
        return random == null ? delayMillis : delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
    }

    /** Starts again with the first delay, after an attempt that succeeded. */
    void reset() {
        baseDelayMillis = firstDelayMillis;
    }
}
