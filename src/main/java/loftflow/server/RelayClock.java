package loftflow.server;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.clock.ClockFile;
import loftflow.clock.ClockReading;
import loftflow.clock.DowntimeEstimate;
import loftflow.engine.Clock;
import loftflow.log.Log;

/**
 * The clock of all times that outlast a process: deadlines, key windows and due times. It is set to the wall clock once
 * in a boot of the machine and advances with the monotonic clock from then on, over restarts of the relay too, so a
 * wall clock that is set neither shortens nor extends a stored span.
 *
 * <p>The {@link ClockFile} in the state folder holds the time at which the clock was set, by both clocks. After a
 * reboot of the machine, the wall clock alone shows how much time has passed: the clock is set to it, but never back.
 */
final class RelayClock {
    /** A larger difference between the wall clock and this clock is logged. */
    private static final long LOGGED_DIFFERENCE_MICROS = 1_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** The time at which the clock was set; {@code wallMicros} is the time that it was set to. */
    private final ClockReading setAt;

    private final Clock clock;
    private final boolean isDowntimeUnknown;
    private final Path folder;
    private boolean isStored;

    private RelayClock(Path folder, ClockReading setAt, Clock clock, boolean isStored, boolean isDowntimeUnknown) {
        this.folder = folder;
        this.setAt = setAt;
        this.clock = clock;
        this.isStored = isStored;
        this.isDowntimeUnknown = isDowntimeUnknown;
    }

    /**
     * Continues the clock of the state folder, or sets a new one.
     *
     * @param now the machine's clocks; its uptime must be by the clock of {@link System#nanoTime}
     */
    static RelayClock open(Path folder, ClockReading now) {
        ClockReading stored = ClockFile.read(folder);
        if (stored == null) {
            return setTo(folder, now, now.wallMicros());
        }
        DowntimeEstimate elapsed = DowntimeEstimate.between(stored, now);
        long micros = DowntimeEstimate.continueRelayTime(stored.wallMicros(), stored, now);
        if (elapsed.isUncertain()) {
            return set(folder, now, micros, true);
        }
        logDifference(now.wallMicros() - micros);
        return new RelayClock(folder, stored, Clock.from(micros), true, false);
    }

    /** Sets a new clock to a time in microseconds since the epoch; the parameters are those of {@link #open}. */
    static RelayClock setTo(Path folder, ClockReading now, long micros) {
        return set(folder, now, micros, false);
    }

    private static RelayClock set(Path folder, ClockReading now, long micros, boolean isDowntimeUnknown) {
        ClockReading setAt = new ClockReading(micros, now.uptimeMicros(), now.bootId());
        // Without a boot id, the next process could not tell whether the uptime still counts from the same boot.
        boolean isStored = now.bootId().isEmpty();
        return new RelayClock(folder, setAt, Clock.from(micros), isStored, isDowntimeUnknown);
    }

    private static void logDifference(long differenceMicros) {
        if (Math.abs(differenceMicros) > LOGGED_DIFFERENCE_MICROS) {
            Log.line("server: wall clock differs from relay time seconds=" + differenceMicros / MICROS_PER_SECOND);
        }
    }

    Clock clock() {
        return clock;
    }

    /** Returns whether the machine was rebooted since the clock was set, so that the time since then is not known. */
    boolean isDowntimeUnknown() {
        return isDowntimeUnknown;
    }

    /** Stores the clock unless it is stored; returns whether it is, otherwise it is to be called again later. */
    boolean store() {
        if (!isStored) {
            try {
                ClockFile.write(folder, setAt);
                isStored = true;
            } catch (IOException e) {
                Log.line("server: clock not stored error=" + e.getMessage());
            }
        }
        return isStored;
    }
}
