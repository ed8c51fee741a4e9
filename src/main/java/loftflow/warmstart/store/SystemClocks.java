package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import loftflow.warmstart.ClockReading;

/** Reads the machine's clocks: the wall clock, the time since its start, and which start that was. */
public final class SystemClocks {
    private static final Path UPTIME = Path.of("/proc/uptime");
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");

    private SystemClocks() {}

    /** The clocks now; where the machine does not tell of its start, the wall clock alone. */
    public static ClockReading now() {
        long wall = System.currentTimeMillis() * 1000;
        try {
            // Hundredths of a second, counted on while the machine sleeps.
            double up = Double.parseDouble(Files.readString(UPTIME).split(" ")[0]);
            return new ClockReading(
                    wall, (long) (up * 1e6), Files.readString(BOOT).strip());
        } catch (IOException | NumberFormatException e) {
            return new ClockReading(wall, 0, "");
        }
    }
}
