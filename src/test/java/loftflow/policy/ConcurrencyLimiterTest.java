package loftflow.policy;

import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link ConcurrencyLimiter} through rounds of the complete policy. */
class ConcurrencyLimiterTest extends PolicyTestBase {

    @Test
    void overdueCallIsCancelledIfSlotsAreNeeded() {
        PolicyHarness singleSlotRelay = new PolicyHarness(PolicyHarness.settings(1, 100))
                .applyList(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        singleSlotRelay.accept(1, "once", 2).advance(10 * SECOND);
        assertTrue(singleSlotRelay.cancelled.isEmpty(), "no message needs its slot");
        singleSlotRelay.accept(2, "safe", 1);
        assertEquals(List.of(1L), singleSlotRelay.cancelled);
    }

    @Test
    void noDestinationOccupiesEverySlot() {
        for (int id = 0; id < 10; id++) {
            relay.accept(id, "safe", 1);
        }
        relay.accept(50, "safe", 2);
        assertEquals(5, relay.sent.stream().filter(call -> call.id() < 10).count());
        assertEquals(1, relay.sendCount(50));
    }
}
