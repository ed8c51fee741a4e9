package loftflow.warmstart;

/**
 * A reading of a machine's clocks.
 *
 * @param wallMicros microseconds since the epoch, by the wall clock, which may be set at any time
 * @param uptimeMicros microseconds since the machine booted, by a clock that is never set
 * @param bootId identifies the boot that {@code uptimeMicros} counts from; empty where the machine does not provide it
 */
public record ClockReading(long wallMicros, long uptimeMicros, String bootId) {
    /** A reading {@code micros} microseconds later in the same boot, with the wall clock not set in between. */
    public ClockReading plus(long micros) {
        return new ClockReading(wallMicros + micros, uptimeMicros + micros, bootId);
    }
}
