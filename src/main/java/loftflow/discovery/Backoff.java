package loftflow.discovery;

import java.util.SplittableRandom;

/**
 * How long to wait between tries that fail: twice as long each time, up to a bound, and a random part of it, so that
 * those who lost the same peer at once don't all ask it at once on its return.
 */
public final class Backoff {
    private final long firstMs;
    private final long mostMs;
    private final SplittableRandom random;
    private long baseMs;

    private Backoff(long firstMs, long mostMs, SplittableRandom random) {
        this.firstMs = firstMs;
        this.mostMs = mostMs;
        this.random = random;
        baseMs = firstMs;
    }

    /** The same pause each time. */
    public static Backoff steady(long ms) {
        return new Backoff(ms, ms, null);
    }

    /** From half of {@code firstMs} up to {@code mostMs}, by a seed of one's own. */
    public static Backoff growing(long firstMs, long mostMs, long seed) {
        return new Backoff(firstMs, mostMs, new SplittableRandom(seed));
    }

    /** The pause before the next try. */
    long nextMs() {
        long base = baseMs;
        baseMs = Math.min(mostMs, 2 * baseMs);
        return random == null ? base : base / 2 + random.nextLong(base / 2 + 1);
    }

    /** A try has succeeded: the next failure is the first. */
    void succeeded() {
        baseMs = firstMs;
    }
}
