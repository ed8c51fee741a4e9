package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link DefaultDeliveryPolicy} through rounds of the complete policy. */
class DefaultDeliveryPolicyTest extends PolicyTestBase {

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
