package loftflow.deadletter;

import java.util.HashMap;
import java.util.Map;

/** Limits redrives of each destination to one at a time and to a maximum rate. */
final class RedrivePacer {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final class DestinationState {
        private long nextAllowedMicros;
        private int inFlightCount;
    }

    private final double redrivesPerSecond;
    private final Map<Integer, DestinationState> statesByDestination = new HashMap<>();

    RedrivePacer(double redrivesPerSecond) {
        this.redrivesPerSecond = redrivesPerSecond;
    }

    /** Returns true if no redrive to the destination is in flight and the interval since the last one has elapsed. */
    boolean canBegin(int destination, long nowMicros) {
        DestinationState state = state(destination);
        return state.inFlightCount == 0 && nowMicros >= state.nextAllowedMicros;
    }

    /** Records the start of a redrive. */
    void begin(int destination, long nowMicros) {
        DestinationState state = state(destination);
        state.inFlightCount++;
        state.nextAllowedMicros = nowMicros + (long) (MICROS_PER_SECOND / redrivesPerSecond);
    }

    /** Records a redrive that an earlier process began and that is still in flight. */
    void resume(int destination) {
        state(destination).inFlightCount++;
    }

    /** Records that a redrive has ended or was not sent. */
    void end(int destination) {
        state(destination).inFlightCount--;
    }

    private DestinationState state(int destination) {
        return statesByDestination.computeIfAbsent(destination, absent -> new DestinationState());
    }
}
