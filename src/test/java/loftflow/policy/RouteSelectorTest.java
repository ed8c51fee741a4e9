package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link RouteSelector}, played through the policy as a whole. */
class RouteSelectorTest extends PolicyTestBase {

    @Test
    void messageIsSentAtOnce() {
        relay.accept(1, "safe", 1);
        assertEquals(1, relay.sends(1));
    }

    @Test
    void firstAttemptsSpreadOverRoutesNearTheBestScore() {
        for (int id = 0; id < 200; id++) {
            relay.accept(id, "safe", 1).advance(100 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        long onA = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(onA > 60 && onA < 160, "on one route: " + onA);
    }

    @Test
    void failedMessageGoesToTheOtherRoute() {
        relay.accept(1, "safe", 1)
                .advance(MILLISECOND)
                .answer(1, AttemptOutcome.CONNECT_FAILED)
                .advance(MILLISECOND);
        assertEquals(2, relay.sent.size());
        assertFalse(relay.sent.get(0).route().equals(relay.sent.get(1).route()));
    }

    @Test
    void nearRoutesAreDrawnMoreOftenButNotExclusively() {
        for (int id = 0; id < 400; id++) {
            relay.accept(id, "safe", 1).advance(10 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        long near = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(near > 200 && near < 260, "near: " + near);
    }
}
