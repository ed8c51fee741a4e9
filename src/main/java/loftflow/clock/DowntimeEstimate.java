package loftflow.clock;

/**
 * Bounds on the time that passed between two clock readings.
 *
 * @param minMicros proven lower bound; used for retry-after waits, so that no wait is shortened
 * @param maxMicros upper bound; used for trust, so that trust is not overestimated; {@link #UNKNOWN} for no bound
 * @param isUncertain true if the elapsed time is not proven: the machine rebooted in between, or provides no boot id
 */
public record DowntimeEstimate(long minMicros, long maxMicros, boolean isUncertain) {
    /** Value of a duration without an upper bound. Exceeds any age at which an endpoint is trusted. */
    public static final long UNKNOWN = Long.MAX_VALUE / 4;

    /**
     * Returns the time between two readings. Within one boot the uptime clock measures it exactly, even if the wall
     * clock was adjusted. Across a reboot only the wall clock is available. It may have been adjusted in between, so
     * the result is uncertain; if the wall clock is behind the earlier reading, there is no upper bound.
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
     * Returns the relay's own time at the later reading, in microseconds since the epoch. It continues the time of the
     * earlier process, so that recorded times stay comparable. Within a boot it advances by the elapsed time, even if
     * the wall clock was adjusted; across a reboot it never goes backwards.
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
