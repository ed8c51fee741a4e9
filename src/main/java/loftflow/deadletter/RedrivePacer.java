package loftflow.deadletter;

import java.util.HashMap;
import java.util.Map;

/** Limits redrives of each destination to one at a time, at a rate. */
final class RedrivePacer {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final class Lane {
        private long nextAllowedMicros;
        private int inFlight;
    }

    private final double redrivesPerSecond;
    private final Map<Integer, Lane> lanes = new HashMap<>();

    RedrivePacer(double redrivesPerSecond) {
        this.redrivesPerSecond = redrivesPerSecond;
    }

    /** True where no redrive to the destination is in flight and the interval since the last one is over. */
    boolean isFree(int destination, long nowMicros) {
        Lane lane = lane(destination);
        return lane.inFlight == 0 && nowMicros >= lane.nextAllowedMicros;
    }

    /** A redrive begins. */
    void begin(int destination, long nowMicros) {
        Lane lane = lane(destination);
        lane.inFlight++;
        lane.nextAllowedMicros = nowMicros + (long) (MICROS_PER_SECOND / redrivesPerSecond);
    }

    /** A redrive that an earlier process began is in flight. */
    void resume(int destination) {
        lane(destination).inFlight++;
    }

    /** A redrive has ended, or was not sent. */
    void end(int destination) {
        lane(destination).inFlight--;
    }

    private Lane lane(int destination) {
        return lanes.computeIfAbsent(destination, absent -> new Lane());
    }
}
