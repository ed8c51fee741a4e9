package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link RecoveryRamp}, played through the policy as a whole. */
class RecoveryRampTest extends PolicyTestBase {

    @Test
    void rampStaysWithinTheBudgetOfTheRule() {
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
        assertTrue(relay.sent.size() - before <= 2, "sent on release: " + (relay.sent.size() - before));
    }

    /**
     * The usual rate is extrapolated where the relay has run for a short time only; the ramp would be far too low
     * otherwise.
     */
    @Test
    void youngRelayRampsUpByItsArrivalsASecond() {
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
        int released = relay.sent.size() - before;
        assertTrue(released >= 10 && released <= 25, "ten a second were usual; released in three seconds: " + released);
    }

    @Test
    void unresponsiveRouteThatLostCallsIsRampedUp() {
        PolicyHarness wide = relayWithUnresponsiveRouteC();
        wide.answer(0, AttemptOutcome.TIMEOUT).answer(1, AttemptOutcome.TIMEOUT).answer(2, AttemptOutcome.TIMEOUT);
        int before = wide.sent.size();
        wide.answer(3, AttemptOutcome.OK).advance(100 * MILLISECOND);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive", "circuit: closed route=c"), wide.logged);
        assertTrue(wide.sent.size() - before <= 1, "sent at once: " + (wide.sent.size() - before));
    }
}
