package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link MessageValue} through rounds of the complete policy. */
class MessageValueTest extends PolicyTestBase {

    /** Although its value has decayed and new messages keep arriving, it is attempted before its deadline. */
    @Test
    void resumedUntriedMessageIsSentBeforeNewOnes() {
        PolicyHarness singleSlotRelay =
                new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        singleSlotRelay.accept(1, "quick", 1);
        singleSlotRelay
                .accept(2, "quick", 1)
                .round(resumedMessage(3))
                .answer(1, AttemptOutcome.OK)
                .advance(MILLISECOND);
        assertEquals(1, singleSlotRelay.sendCount(3));
        assertEquals(0, singleSlotRelay.sendCount(2));
        singleSlotRelay.answer(3, AttemptOutcome.ERROR).advance(5 * SECOND);
        assertEquals(1, singleSlotRelay.sendCount(2), "no precedence after its first attempt");
    }

    @Test
    void newestMessageIsSentFirstAtAnOverloadedDestination() {
        PolicyHarness singleSlotRelay =
                new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 30; id++) {
            singleSlotRelay.accept(id, "once", 1);
        }
        while (singleSlotRelay.now < 18 * SECOND) {
            singleSlotRelay
                    .advance(2 * SECOND)
                    .answer(singleSlotRelay.unanswered.get(0).id(), AttemptOutcome.OK);
        }
        singleSlotRelay.accept(40, "once", 1).advance(3 * SECOND).accept(41, "once", 1);
        assertTrue(singleSlotRelay.rejected.size() > 10, "expired messages: " + singleSlotRelay.rejected.size());
        singleSlotRelay.answer(singleSlotRelay.unanswered.get(0).id(), AttemptOutcome.OK);
        assertEquals(1, singleSlotRelay.sendCount(41));
        assertEquals(0, singleSlotRelay.sendCount(40));
    }

    @Test
    void messageThatLosesMostByDeferralIsSentFirst() {
        PolicyHarness singleSlotRelay =
                new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        singleSlotRelay
                .accept(1, "safe", 1)
                .accept(2, "safe", 1)
                .advance(SECOND)
                .accept(3, "quick", 1)
                .answer(1, AttemptOutcome.OK);
        assertEquals(3, singleSlotRelay.sent.get(1).id());
    }
}
