package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link DefaultDeliveryPolicy}, played through the policy as a whole. */
class DefaultDeliveryPolicyTest extends PolicyTestBase {

    @Test
    void loneRelayAndOneOfFourHundredServe() {
        for (int size : new int[] {1, 400}) {
            PolicyHarness one =
                    new PolicyHarness(PolicyHarness.fleet(size, 3)).applyList(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2).advance(MILLISECOND).answer(1, AttemptOutcome.OK);
            assertEquals(1, one.sends(1));
        }
    }

    @Test
    void invalidSettingsNameTheField() {
        var thrown = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.settings(0, 5));
        assertTrue(thrown.getMessage().contains("maxConcurrentCalls"));
    }
}
