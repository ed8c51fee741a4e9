package loftflow.policy;

/** Counts events with exponential decay, so that its value reflects roughly the last {@link #WINDOW_MICROS}. */
final class DecayingCounter {
    /** The decay's time constant; a relay may call a quiet destination only once in this time. */
    static final long WINDOW_MICROS = 10_000_000;

    /** A rate is not extrapolated from a shorter observation than this. */
    private static final long MIN_OBSERVED_MICROS = 2_500_000;

    /** A rate is not extrapolated from fewer events than this. */
    private static final double MIN_EVENTS = 12;

    private double count;
    private long lastEventAtMicros;
    /** When the first event was counted; 0 where none was. */
    private long firstEventAtMicros;

    /** Counts one event. */
    void increment(long now) {
        firstEventAtMicros = firstEventAtMicros == 0 ? now : firstEventAtMicros;
        count = 1 + count * Math.exp((lastEventAtMicros - now) / (double) WINDOW_MICROS);
        lastEventAtMicros = now;
    }

    /** The decayed count as of the latest event. */
    double countAtLastEvent() {
        return count;
    }

    /** Events a second over the window. */
    double ratePerSecond(long now) {
        return count
                * Math.exp((lastEventAtMicros - now) / (double) WINDOW_MICROS)
                * RoundContext.MICROS_PER_SECOND
                / WINDOW_MICROS;
    }

    /** Events a second; a counter younger than its window is extrapolated where it {@link #isSignificant}. */
    double extrapolatedRatePerSecond(long now) {
        return ratePerSecond(now)
                / (isSignificant(now) ? 1 - Math.exp((firstEventAtMicros - now) / (double) WINDOW_MICROS) : 1);
    }

    /** True where enough was counted over a long enough time to be extrapolated. */
    boolean isSignificant(long now) {
        return count >= MIN_EVENTS && now - firstEventAtMicros >= MIN_OBSERVED_MICROS;
    }
}
