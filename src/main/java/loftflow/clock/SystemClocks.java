package loftflow.clock;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the machine's clocks: the wall clock, the time since boot, and the boot id. */
public final class SystemClocks {
    private static final Path UPTIME_FILE = Path.of("/proc/uptime");
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private SystemClocks() {}

    /** Returns the current clocks. If the uptime or boot id can't be read, the uptime is 0 and the boot id is empty. */
    public static ClockReading now() {
        long wallMicros = wallMicros();
        try {
            // Seconds with two decimals; includes the time for which the machine is suspended.
            double uptimeSeconds =
                    Double.parseDouble(Files.readString(UPTIME_FILE).split(" ")[0]);
            return new ClockReading(wallMicros, (long) (uptimeSeconds * MICROS_PER_SECOND), bootId());
        } catch (IOException | NumberFormatException e) {
            return new ClockReading(wallMicros, 0, "");
        }
    }

    /**
     * Returns the current clocks with the monotonic clock, which does not include suspended time, as the uptime. On
     * Linux, {@link System#nanoTime} counts from the boot in every process.
     */
    public static ClockReading nowByMonotonicClock() {
        long wallMicros = wallMicros();
        long uptimeMicros = System.nanoTime() / NANOS_PER_MICRO;
        try {
            return new ClockReading(wallMicros, uptimeMicros, bootId());
        } catch (IOException e) {
            return new ClockReading(wallMicros, uptimeMicros, "");
        }
    }

    private static long wallMicros() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    private static String bootId() throws IOException {
        return Files.readString(BOOT_ID_FILE).strip();
    }
}
