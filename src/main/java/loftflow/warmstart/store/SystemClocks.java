package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import loftflow.warmstart.ClockReading;

/** Reads the machine's clocks: the wall clock, the time since boot, and the boot id. */
public final class SystemClocks {
    private static final Path UPTIME_FILE = Path.of("/proc/uptime");
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private SystemClocks() {}

    /** The clocks now; only the wall clock, with an empty boot id, where the machine does not provide the others. */
    public static ClockReading now() {
        long wallMicros = System.currentTimeMillis() * MICROS_PER_MILLI;
        try {
            // Seconds with two decimals; the clock runs on while the machine is suspended.
            double uptimeSeconds =
                    Double.parseDouble(Files.readString(UPTIME_FILE).split(" ")[0]);
            String bootId = Files.readString(BOOT_ID_FILE).strip();
            return new ClockReading(wallMicros, (long) (uptimeSeconds * MICROS_PER_SECOND), bootId);
        } catch (IOException | NumberFormatException e) {
            return new ClockReading(wallMicros, 0, "");
        }
    }
}
