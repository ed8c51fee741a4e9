package loftflow.warmstart;

/**
 * A reading of a machine's clocks.
 *
 * @param wall microseconds since 1970, by a clock that may be set
 * @param up microseconds since the machine's start, by a clock that is never set
 * @param boot which start of the machine that was; empty where it can't be told
 */
public record ClockReading(long wall, long up, String boot) {
    /** A reading at another time of the same boot whose wall clock was not set. */
    public ClockReading plus(long micros) {
        return new ClockReading(wall + micros, up + micros, boot);
    }
}
