package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A whole fleet that starts at once: the load on its destinations, by a deterministic simulation. */
class FleetRecoveryTest {
    private static final long SPAN = 60 * FleetRecoverySimulation.SECOND;

    @ParameterizedTest
    @CsvSource({"10, OUT", "10, OLD", "10, OUT_NO_LIMIT", "100, WARM", "100, OUT", "100, OLD", "100, OUT_NO_LIMIT"})
    void noDestinationIsOverloadedAndServiceRecoversInTime(int relays, FleetRecoverySimulation.Memory memory) {
        FleetRecoverySimulation.Outcome outcome = FleetRecoverySimulation.play(relays, memory, 0.5, 2, SPAN);
        assertTrue(outcome.peak() < 2, "the rule's bound is 2.5: " + outcome);
        assertTrue(outcome.fullAfter() <= 35 && outcome.delivered() > 0.98, outcome.toString());
    }

    /** Ten times as many waiting messages: they are sent along the destination's warm-up, not all at once. */
    @Test
    void waitingMessagesAreSentWithinTheBoundToo() {
        FleetRecoverySimulation.Outcome outcome =
                FleetRecoverySimulation.play(100, FleetRecoverySimulation.Memory.OUT, 0.5, 20, SPAN);
        assertTrue(outcome.peak() < 2, outcome.toString());
    }

    /** Proves that the simulation can fail: a fleet without snapshots overloads a cold destination. */
    @Test
    void fleetWithoutSnapshotsExceedsTheBound() {
        assertTrue(FleetRecoverySimulation.play(100, FleetRecoverySimulation.Memory.NOTHING, 0.5, 2, SPAN)
                        .peak()
                > FleetRecoverySimulation.FALL_MULTIPLE);
    }

    @Test
    void sameFleetBehavesTheSame() {
        assertEquals(
                FleetRecoverySimulation.play(10, FleetRecoverySimulation.Memory.OLD, 0.5, 2, SPAN),
                FleetRecoverySimulation.play(10, FleetRecoverySimulation.Memory.OLD, 0.5, 2, SPAN));
    }
}
