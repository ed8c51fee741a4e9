package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageAccepted;
import org.junit.jupiter.api.Test;

/** Tests {@link DefaultDeliveryPolicy} through rounds of the complete policy. */
class DefaultDeliveryPolicyTest extends PolicyTestBase {

    /** A message that was nearly out of time ended the call of the others with it; after a restart most calls had one. */
    @Test
    void messageThatIsNearlyOutOfTimeSharesNoCall() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings()).applyList(route("b1", 5, "bulk", "east"));
        long remaining = SECOND * 7 / 10;
        relay.round(
                new MessageAccepted(1, "safe", null, null, relay.now + remaining, 5),
                new MessageAccepted(2, "safe", null, null, relay.now + 20 * SECOND, 5),
                new MessageAccepted(3, "safe", null, null, relay.now + 20 * SECOND, 5));
        assertEquals(3, relay.sent.size());
        for (PolicyHarness.Sent attempt : relay.sent) {
            assertEquals(attempt.id() != 1, attempt.mayShareCall(), () -> "sent " + relay.sent);
        }
    }

    @Test
    void singleRelayAndOneOfFourHundredSendMessages() {
        for (int fleetSize : new int[] {1, 400}) {
            PolicyHarness fleetRelay =
                    new PolicyHarness(PolicyHarness.fleet(fleetSize, 3)).applyList(route("c", 2, "apart", "east"));
            fleetRelay.accept(1, "safe", 2).advance(MILLISECOND).answer(1, AttemptOutcome.OK);
            assertEquals(1, fleetRelay.sendCount(1));
        }
    }

    @Test
    void exceptionForInvalidSettingsNamesTheField() {
        var exception = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.settings(0, 5));
        assertTrue(exception.getMessage().contains("maxConcurrentCalls"));
    }
}
