package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link MessageValue}, played through the policy as a whole. */
class MessageValueTest extends PolicyTestBase {

    /** Its value has decayed, and new messages keep arriving: it is attempted before its deadline all the same. */
    @Test
    void resumedUntriedMessageGoesAheadOfNewOnes() {
        PolicyHarness busy =
                new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        busy.accept(1, "quick", 1);
        busy.accept(2, "quick", 1)
                .round(resumedMessage(3))
                .answer(1, AttemptOutcome.OK)
                .advance(MILLISECOND);
        assertEquals(1, busy.sends(3));
        assertEquals(0, busy.sends(2));
        busy.answer(3, AttemptOutcome.ERROR).advance(5 * SECOND);
        assertEquals(1, busy.sends(2), "tried once, it is one of many");
    }

    @Test
    void newestGoesFirstWhereMessagesExpire() {
        PolicyHarness narrow =
                new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 30; id++) {
            narrow.accept(id, "once", 1);
        }
        while (narrow.now < 18 * SECOND) {
            narrow.advance(2 * SECOND).answer(narrow.unanswered.get(0).id(), AttemptOutcome.OK);
        }
        narrow.accept(40, "once", 1).advance(3 * SECOND).accept(41, "once", 1);
        assertTrue(narrow.rejected.size() > 10, "so many ran out of time: " + narrow.rejected.size());
        narrow.answer(narrow.unanswered.get(0).id(), AttemptOutcome.OK);
        assertEquals(1, narrow.sends(41));
        assertEquals(0, narrow.sends(40));
    }

    @Test
    void messageThatLosesMostByWaitingGoesFirst() {
        PolicyHarness one = new PolicyHarness(PolicyHarness.settings(1, 100)).applyList(route("a", 1, "plain", "east"));
        one.accept(1, "safe", 1)
                .accept(2, "safe", 1)
                .advance(SECOND)
                .accept(3, "quick", 1)
                .answer(1, AttemptOutcome.OK);
        assertEquals(3, one.sent.get(1).id());
    }
}
