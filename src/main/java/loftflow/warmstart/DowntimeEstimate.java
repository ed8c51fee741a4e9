package loftflow.warmstart;

/**
 * How long ago something was saved, as far as the clocks tell. Spans in microseconds.
 *
 * @param least it is no shorter: waits are reckoned by it, so that none is shortened
 * @param most it is no longer: trust is reckoned by it, so that none is too high; {@link #UNKNOWN} where nothing tells
 * @param doubtful the clocks prove neither: the machine was started anew between, or does not tell
 */
public record DowntimeEstimate(long least, long most, boolean doubtful) {
    /** Longer than anything is believed for. */
    public static final long UNKNOWN = Long.MAX_VALUE / 4;

    /**
     * The span between two moments. Within one boot the clock that is never set measures it, whatever became of the
     * wall
     * clock. Over a boot the wall clock alone tells, which may have been set between: nothing is proven then, and one
     * that
     * stands before the earlier moment tells nothing at all.
     */
    public static DowntimeEstimate between(ClockReading then, ClockReading now) {
        if (!then.boot().isEmpty() && then.boot().equals(now.boot()) && now.up() >= then.up()) {
            long span = now.up() - then.up();
            return new DowntimeEstimate(span, span, false);
        }
        long span = now.wall() - then.wall();
        return new DowntimeEstimate(0, span >= 0 ? span : UNKNOWN, true);
    }

    /**
     * The relay's own time now, in microseconds since 1970, so that what an earlier process wrote down still means the
     * same: within a boot it goes on as it was, also where the wall clock was set; over a boot it never goes back.
     *
     * @param time the relay's own time at the earlier moment
     */
    public static long goOn(long time, ClockReading then, ClockReading now) {
        DowntimeEstimate elapsed = between(then, now);
        return elapsed.doubtful() ? Math.max(time, now.wall()) : time + elapsed.least();
    }
}
