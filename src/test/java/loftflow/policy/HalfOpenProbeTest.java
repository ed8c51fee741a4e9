package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link HalfOpenProbe}, played through the policy as a whole. */
class HalfOpenProbeTest extends PolicyTestBase {

    @Test
    void probeIsAMessageWithTimeLeft() {
        openCircuitOfRouteC();
        relay.round(acceptedMessage(10, 2500 * MILLISECOND))
                .accept(11, "safe", 2)
                .advance(6 * SECOND);
        assertEquals(0, relay.sends(10));
        assertEquals(1, relay.sends(11));
    }

    @Test
    void probesOfAFleetStayFarBelowItsCalls() {
        int tests = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness one =
                    new PolicyHarness(PolicyHarness.fleet(100, seed)).applyList(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2)
                    .advance(MILLISECOND)
                    .answer(1, AttemptOutcome.CONNECT_FAILED)
                    .advance(10 * SECOND);
            tests += one.sent.size() - 1;
        }
        assertTrue(tests < 50, "tests of 100 relays in ten seconds: " + tests);
    }

    @Test
    void probePrefersTheMessageThatLosesLeast() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).accept(11, "safe", 2).advance(6 * SECOND);
        assertEquals(0, relay.sends(10));
        assertEquals(1, relay.sends(11));
        assertTrue(relay.probes.isEmpty());
    }

    @Test
    void nonIdempotentMessageIsReplacedByAHealthCheck() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).advance(6 * SECOND);
        assertEquals(List.of("c"), relay.probes);
        assertEquals(0, relay.sends(10));
    }
}
