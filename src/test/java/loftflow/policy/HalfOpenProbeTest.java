package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.ProbeCompleted;
import org.junit.jupiter.api.Test;

/** Tests {@link HalfOpenProbe} through rounds of the complete policy. */
class HalfOpenProbeTest extends PolicyTestBase {

    @Test
    void probeIsAMessageWithEnoughTimeLeft() {
        openCircuitOfRouteC();
        relay.round(acceptedMessage(10, 2500 * MILLISECOND))
                .accept(11, "safe", 2)
                .advance(6 * SECOND);
        assertEquals(0, relay.sendCount(10));
        assertEquals(1, relay.sendCount(11));
    }

    @Test
    void relaysOfAFleetProbeRarely() {
        int probes = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness fleetRelay =
                    new PolicyHarness(PolicyHarness.fleet(100, seed)).applyList(route("c", 2, "apart", "east"));
            fleetRelay
                    .accept(1, "safe", 2)
                    .advance(MILLISECOND)
                    .answer(1, AttemptOutcome.CONNECT_FAILED)
                    .advance(10 * SECOND);
            probes += fleetRelay.sent.size() - 1;
        }
        assertTrue(probes < 50, "probes of 100 relays in ten seconds: " + probes);
    }

    @Test
    void probeIsTheMessageWithTheLowestCostOfFailure() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).accept(11, "safe", 2).advance(6 * SECOND);
        assertEquals(0, relay.sendCount(10));
        assertEquals(1, relay.sendCount(11));
        assertTrue(relay.probes.isEmpty());
    }

    @Test
    void healthCheckProbesInPlaceOfANonIdempotentMessage() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).advance(6 * SECOND);
        assertEquals(List.of("c"), relay.probes);
        assertEquals(0, relay.sendCount(10));
    }

    /** A destination that got only messages with little time got no call any more after an outage. */
    @Test
    void healthCheckProbesWhereAllMessagesHaveLittleTimeLeft() {
        openCircuitOfRouteC();
        for (int id = 10; relay.probes.isEmpty() && id < 40; id++) {
            relay.round(acceptedMessage(id, 1400 * MILLISECOND)).advance(400 * MILLISECOND);
        }
        assertEquals(List.of("c"), relay.probes);
        relay.round(new ProbeCompleted("c", AttemptOutcome.OK, 0, 100 * MILLISECOND, LimitReport.NONE));
        int sent = relay.sent.size();
        for (int id = 50; id < 60; id++) {
            relay.round(acceptedMessage(id, 1400 * MILLISECOND)).advance(400 * MILLISECOND);
        }
        assertTrue(relay.sent.size() > sent, "messages are sent again");
    }

    /** As above, where the platform allows no health checks. */
    @Test
    void messageWithTheMostTimeLeftProbesWhereNoneHasEnough() {
        PolicyHarness unprobed =
                new PolicyHarness(PolicyHarness.withoutProbes()).applyList(route("c", 2, "apart", "east"));
        for (int id = 1; unprobed.logged.isEmpty(); id++) {
            unprobed.accept(id, "once", 2).advance(MILLISECOND);
            if (unprobed.sendCount(id) > 0) {
                unprobed.answer(id, AttemptOutcome.ERROR);
            }
        }
        int sent = unprobed.sent.size();
        for (int id = 100; unprobed.sent.size() == sent && id < 140; id++) {
            MessageAccepted shortLived =
                    new MessageAccepted(id, "safe", null, null, unprobed.now + 1400 * MILLISECOND, 2);
            unprobed.round(shortLived).advance(400 * MILLISECOND);
        }
        assertEquals(sent + 1, unprobed.sent.size());
    }
}
