package loftflow.policy;

/** Counts events with exponential decay, so that the count covers roughly the last {@link #WINDOW_MICROS}. */
final class DecayingCounter {
    /** Time constant of the decay; a relay may call a rarely used destination only once in this time. */
    static final long WINDOW_MICROS = 10_000_000;

    /** Minimum observation time for extrapolating a rate. */
    private static final long MIN_OBSERVED_MICROS = 2_500_000;

    /** Minimum number of events for extrapolating a rate. */
    private static final double MIN_EVENTS = 12;

    private double count;
    private long lastEventAtMicros;
    /** Time of the first event; 0 before it. */
    private long firstEventAtMicros;

    void increment(long now) {
        firstEventAtMicros = firstEventAtMicros == 0 ? now : firstEventAtMicros;
        count = 1 + count * Math.exp((lastEventAtMicros - now) / (double) WINDOW_MICROS);
        lastEventAtMicros = now;
    }

    /** Returns the decayed count as of the latest event. */
    double countAtLastEvent() {
        return count;
    }

    /** Returns the events per second over the window. */
    double ratePerSecond(long now) {
        return count
                * Math.exp((lastEventAtMicros - now) / (double) WINDOW_MICROS)
                * RoundContext.MICROS_PER_SECOND
                / WINDOW_MICROS;
    }

    /**
     * Returns the events per second. The rate of a counter younger than its window is extrapolated if it {@link
     * #isSignificant}.
     */
    double extrapolatedRatePerSecond(long now) {
        return ratePerSecond(now)
                / (isSignificant(now) ? 1 - Math.exp((firstEventAtMicros - now) / (double) WINDOW_MICROS) : 1);
    }

    /** Returns whether enough events were counted over a long enough time to extrapolate the rate. */
    boolean isSignificant(long now) {
        return count >= MIN_EVENTS && now - firstEventAtMicros >= MIN_OBSERVED_MICROS;
    }
}
