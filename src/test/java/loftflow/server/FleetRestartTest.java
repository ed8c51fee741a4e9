package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Kills half of a small fleet while discovery is down. {@link FleetHarness#main} measures a larger fleet. */
class FleetRestartTest {
    @TempDir
    Path folder;

    @Test
    void halfOfAFleetRestartsFromAnOldSnapshotWithoutMisdirectedMessages() throws Exception {
        try (FleetHarness fleet = new FleetHarness(folder, 4, 8, 2, 2, 20, 10)) {
            FleetHarness.Measured measured = fleet.run(FleetHarness.Start.REMEMBERED_OLD, 4_000, 8_000, 1_000);
            assertTrue(measured.readyMillis().stream().allMatch(ms -> ms >= 0), measured.toString());
            assertEquals(0, measured.toRemovedBefore(), "messages to addresses of removed endpoints: " + measured);
            assertEquals(0, measured.toRemovedAfter(), measured.toString());
            assertTrue(measured.highest() <= FleetHarness.MAX_LOAD_MULTIPLE, measured.toString());
            assertTrue(measured.inTime() > 0.3, "share of messages delivered in time: " + measured);
        }
    }
}
