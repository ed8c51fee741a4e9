package loftflow.warmstart;

/**
 * A reading of a machine's clocks.
 *
 * @param wall microseconds since the epoch, by the wall clock, which may be set at any time
 * @param up microseconds since the machine booted, by a clock that is never set
 * @param boot identifies the boot that {@code up} counts from; empty where the machine does not provide it
 */
public record ClockReading(long wall, long up, String boot) {
    /** A reading {@code micros} microseconds later in the same boot, with the wall clock not set in between. */
    public ClockReading plus(long micros) {
        return new ClockReading(wall + micros, up + micros, boot);
    }
}
