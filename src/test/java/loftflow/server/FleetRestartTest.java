package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A small fleet on loopback, half of it killed while discovery is down; {@link FleetHarness} can measure a larger one. */
class FleetRestartTest {
    @TempDir
    Path folder;

    @Test
    void halfAFleetRestartsFromAnOldSnapshotWithoutMisdirectedMessages() throws Exception {
        try (FleetHarness rig = new FleetHarness(folder, 4, 8, 2, 2, 20, 10)) {
            FleetHarness.Measured measured = rig.run(FleetHarness.Start.REMEMBERED_OLD, 4_000, 8_000, 1_000);
            assertTrue(measured.readyMillis().stream().allMatch(ms -> ms >= 0), measured.toString());
            assertEquals(0, measured.toRemovedBefore(), "messages to another service: " + measured);
            assertEquals(0, measured.toRemovedAfter(), measured.toString());
            assertTrue(measured.highest() <= FleetHarness.MAX_LOAD_MULTIPLE, measured.toString());
            assertTrue(measured.inTime() > 0.3, "messages are delivered: " + measured);
        }
    }
}
