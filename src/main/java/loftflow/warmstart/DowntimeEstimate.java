package loftflow.warmstart;

/**
 * How much time passed between two clock readings, as far as the clocks can prove it.
 *
 * @param minMicros lower bound; used for retry-after waits, so that none is shortened
 * @param maxMicros upper bound; used for trust, so that none is too high. {@link #UNKNOWN} where there is no bound
 * @param isUncertain neither bound is proven: the machine rebooted in between, or provides no boot id
 */
public record DowntimeEstimate(long minMicros, long maxMicros, boolean isUncertain) {
    /** Stands for a duration without an upper bound. Longer than any age at which an endpoint is trusted. */
    public static final long UNKNOWN = Long.MAX_VALUE / 4;

    /**
     * The time between two readings. Within one boot the uptime clock measures it exactly, whatever happened to the
     * wall clock. Across a reboot only the wall clock is left. It may have been set in between, so nothing is proven,
     * and a wall clock that is behind the earlier reading gives no upper bound at all.
     */
    public static DowntimeEstimate between(ClockReading earlier, ClockReading later) {
        if (isSameBoot(earlier, later) && later.uptimeMicros() >= earlier.uptimeMicros()) {
            long elapsedMicros = later.uptimeMicros() - earlier.uptimeMicros();
            return new DowntimeEstimate(elapsedMicros, elapsedMicros, false);
        }
        long elapsedMicros = later.wallMicros() - earlier.wallMicros();
        return new DowntimeEstimate(0, elapsedMicros >= 0 ? elapsedMicros : UNKNOWN, true);
    }

    private static boolean isSameBoot(ClockReading earlier, ClockReading later) {
        return !earlier.bootId().isEmpty() && earlier.bootId().equals(later.bootId());
    }

    /**
     * Continues the relay's own time, in microseconds since the epoch, so that times recorded by an earlier process
     * keep their meaning. Within a boot it advances by the time that passed, even where the wall clock was set; across
     * a reboot it never goes backwards.
     *
     * @param relayTimeMicros the relay's own time at the earlier reading
     */
    public static long continueRelayTime(long relayTimeMicros, ClockReading earlier, ClockReading later) {
        DowntimeEstimate downtime = between(earlier, later);
        return downtime.isUncertain()
                ? Math.max(relayTimeMicros, later.wallMicros())
                : relayTimeMicros + downtime.minMicros();
    }
}
