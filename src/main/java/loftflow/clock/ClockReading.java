package loftflow.clock;

/**
 * A reading of a machine's clocks.
 *
 * @param wallMicros microseconds since the epoch, by the wall clock, which may be adjusted at any time
 * @param uptimeMicros microseconds since the machine booted, by a monotonic clock that is never adjusted
 * @param bootId identifies the boot that {@code uptimeMicros} counts from; empty if the machine does not provide one
 */
public record ClockReading(long wallMicros, long uptimeMicros, String bootId) {
    /** Returns the reading {@code micros} microseconds later in the same boot if the wall clock is not adjusted. */
    public ClockReading plus(long micros) {
        return new ClockReading(wallMicros + micros, uptimeMicros + micros, bootId);
    }
}
