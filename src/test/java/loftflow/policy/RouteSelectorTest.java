package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link RouteSelector} through rounds of the complete policy. */
class RouteSelectorTest extends PolicyTestBase {

    @Test
    void messageIsSentImmediately() {
        relay.accept(1, "safe", 1);
        assertEquals(1, relay.sendCount(1));
    }

    @Test
    void firstAttemptsSpreadOverRoutesNearTheBestScore() {
        for (int id = 0; id < 200; id++) {
            relay.accept(id, "safe", 1).advance(100 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        long sentToA =
                relay.sent.stream().filter(sent -> sent.route().equals("a")).count();
        assertTrue(sentToA > 60 && sentToA < 160, "sent to one route: " + sentToA);
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
    void nearRoutesAreSelectedMoreOftenButNotExclusively() {
        for (int id = 0; id < 400; id++) {
            relay.accept(id, "safe", 1).advance(10 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        long sentToNearRoute =
                relay.sent.stream().filter(sent -> sent.route().equals("a")).count();
        assertTrue(sentToNearRoute > 200 && sentToNearRoute < 260, "sent to the near route: " + sentToNearRoute);
    }
}
