package loftflow.policy;

import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link ConcurrencyLimiter}, played through the policy as a whole. */
class ConcurrencyLimiterTest extends PolicyTestBase {

    @Test
    void overdueCallIsCancelledWhereSlotsAreNeeded() {
        PolicyHarness narrow = new PolicyHarness(PolicyHarness.settings(1, 100))
                .applyList(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        narrow.accept(1, "once", 2).advance(10 * SECOND);
        assertTrue(narrow.cancelled.isEmpty(), "nobody wants its slot");
        narrow.accept(2, "safe", 1);
        assertEquals(List.of(1L), narrow.cancelled);
    }

    @Test
    void noDestinationOccupiesEverySlot() {
        for (int id = 0; id < 10; id++) {
            relay.accept(id, "safe", 1);
        }
        relay.accept(50, "safe", 2);
        assertEquals(5, relay.sent.stream().filter(s -> s.id() < 10).count());
        assertEquals(1, relay.sends(50));
    }
}
