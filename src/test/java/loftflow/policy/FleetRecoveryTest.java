package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load on the destinations of a whole fleet that starts at the same time, in a deterministic simulation. */
class FleetRecoveryTest {
    private static final long DURATION = 60 * FleetRecoverySimulation.SECOND;

    @ParameterizedTest
    @CsvSource({"10, OUT", "10, OLD", "10, OUT_NO_LIMIT", "100, WARM", "100, OUT", "100, OLD", "100, OUT_NO_LIMIT"})
    void noDestinationIsOverloadedAndServiceRecoversInTime(
            int relays, FleetRecoverySimulation.SnapshotState snapshotState) {
        FleetRecoverySimulation.Result result =
                FleetRecoverySimulation.simulate(relays, snapshotState, 0.5, 2, DURATION);
        assertTrue(result.peakLoad() < 2, "the overload multiple is 2.5: " + result);
        assertTrue(result.recoveredAfterSeconds() <= 35 && result.delivered() > 0.98, result.toString());
    }

    /** Ten times as many waiting messages are sent in step with the destination's warm-up rather than all at once. */
    @Test
    void waitingMessagesDoNotOverloadTheDestination() {
        FleetRecoverySimulation.Result result =
                FleetRecoverySimulation.simulate(100, FleetRecoverySimulation.SnapshotState.OUT, 0.5, 20, DURATION);
        assertTrue(result.peakLoad() < 2, result.toString());
    }

    /** Shows that the simulation can fail: a fleet without snapshots overloads a cold destination. */
    @Test
    void fleetWithoutSnapshotsOverloadsTheDestination() {
        assertTrue(
                FleetRecoverySimulation.simulate(100, FleetRecoverySimulation.SnapshotState.NOTHING, 0.5, 2, DURATION)
                                .peakLoad()
                        > FleetRecoverySimulation.OVERLOAD_MULTIPLE);
    }

    @Test
    void simulationIsDeterministic() {
        assertEquals(
                FleetRecoverySimulation.simulate(10, FleetRecoverySimulation.SnapshotState.OLD, 0.5, 2, DURATION),
                FleetRecoverySimulation.simulate(10, FleetRecoverySimulation.SnapshotState.OLD, 0.5, 2, DURATION));
    }
}
