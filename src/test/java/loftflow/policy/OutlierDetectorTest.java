package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link OutlierDetector} through rounds of the complete policy. */
class OutlierDetectorTest extends PolicyTestBase {

    @Test
    void circuitOfAnUnresponsiveRouteOpensBeforeThreeTimeouts() {
        for (int id = 0; id < 4; id++) {
            relay.accept(id, "once", 2).advance(100 * MILLISECOND);
        }
        relay.advance(3 * SECOND).accept(9, "safe", 2).advance(900 * MILLISECOND);
        assertEquals(0, relay.sendCount(9));
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), relay.logged);
    }

    /**
     * A destination that becomes unresponsive still answers calls from its queue. Those answers do not show that it is
     * responsive now.
     */
    @Test
    void answersToEarlierCallsDoNotHideAnUnresponsiveRoute() {
        for (int id = 100; id < 120; id++) {
            relay.accept(id, "safe", 2).advance(50 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        for (int id = 0; id < 4; id++) {
            relay.accept(id, "safe", 2).advance(100 * MILLISECOND);
        }
        relay.advance(SECOND)
                .answer(0, AttemptOutcome.OK)
                .advance(2 * SECOND)
                .accept(9, "safe", 2)
                .advance(500 * MILLISECOND);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), relay.logged);
        assertEquals(0, relay.sendCount(9));
    }

    @Test
    void answersToAllOverdueCallsCloseTheCircuitWithoutARamp() {
        PolicyHarness largeRelay = relayWithUnresponsiveRouteC();
        largeRelay
                .answer(0, AttemptOutcome.OK)
                .answer(1, AttemptOutcome.OK)
                .answer(2, AttemptOutcome.OK)
                .answer(3, AttemptOutcome.OK)
                .advance(100 * MILLISECOND);
        assertEquals(
                List.of("circuit: opened route=c cause=unresponsive", "circuit: closed route=c"), largeRelay.logged);
        assertEquals(11, largeRelay.unanswered.size(), "all waiting messages are sent");
    }
}
