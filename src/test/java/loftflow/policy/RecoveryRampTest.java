package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link RecoveryRamp} through rounds of the complete policy. */
class RecoveryRampTest extends PolicyTestBase {

    @Test
    void rampStaysBelowTheOverloadMultiple() {
        openCircuitOfRouteC();
        for (int id = 10; id < 60; id++) {
            relay.accept(id, "safe", 2);
        }
        relay.advance(6 * SECOND).answer(relay.unanswered.get(0).id(), AttemptOutcome.OK);
        int before = relay.sent.size();
        for (int i = 0; i < 20; i++) {
            relay.advance(100 * MILLISECOND);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
        assertTrue(relay.sent.size() - before <= 2, "sent during the ramp: " + (relay.sent.size() - before));
    }

    /**
     * The usual rate of a relay that has run only for a short time is extrapolated; otherwise its ramp would be far too
     * low.
     */
    @Test
    void recentlyStartedRelayRampsUpByItsExtrapolatedRate() {
        int id = 100;
        for (int i = 0; i < 40; i++) {
            relay.accept(id, "safe", 2).answer(id, AttemptOutcome.OK).advance(100 * MILLISECOND);
            id++;
        }
        openCircuitOfRouteC();
        for (int i = 0; i < 60; i++) {
            relay.accept(id++, "safe", 2);
        }
        relay.advance(6 * SECOND).answer(relay.unanswered.get(0).id(), AttemptOutcome.OK);
        int before = relay.sent.size();
        for (int i = 0; i < 30; i++) {
            relay.advance(100 * MILLISECOND);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
        int sentDuringRamp = relay.sent.size() - before;
        assertTrue(
                sentDuringRamp >= 10 && sentDuringRamp <= 25,
                "sent in three seconds, at a usual rate of ten per second: " + sentDuringRamp);
    }

    @Test
    void unresponsiveRouteRampsUpIfCallsTimedOut() {
        PolicyHarness largeRelay = relayWithUnresponsiveRouteC();
        largeRelay
                .answer(0, AttemptOutcome.TIMEOUT)
                .answer(1, AttemptOutcome.TIMEOUT)
                .answer(2, AttemptOutcome.TIMEOUT);
        int before = largeRelay.sent.size();
        largeRelay.answer(3, AttemptOutcome.OK).advance(100 * MILLISECOND);
        assertEquals(
                List.of("circuit: opened route=c cause=unresponsive", "circuit: closed route=c"), largeRelay.logged);
        assertTrue(largeRelay.sent.size() - before <= 1, "sent immediately: " + (largeRelay.sent.size() - before));
    }
}
