package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of {@link LoadShedder}, played through the policy as a whole. */
class LoadShedderTest extends PolicyTestBase {

    /** No other relay can deliver it: the arrival is rejected, however much higher its value is. */
    @Test
    void resumedUntriedMessageIsNotShed() {
        PolicyHarness full = new PolicyHarness(PolicyHarness.settings(1, 3)).applyList(route("a", 1, "plain", "east"));
        full.accept(1, "safe", 1)
                .round(resumedMessage(2), resumedMessage(3))
                .accept(4, "quick", 1)
                .accept(5, "quick", 1);
        assertEquals(List.of(4L, 5L), full.rejected);
        full.answer(1, AttemptOutcome.OK)
                .advance(MILLISECOND)
                .answer(2, AttemptOutcome.OK)
                .advance(MILLISECOND);
        assertEquals(1, full.sends(3));
    }

    @Test
    void fullBufferRejectsTheLowestValueThatMayBeRejected() {
        PolicyHarness small = new PolicyHarness(PolicyHarness.settings(4, 3)).applyList(route("c", 2, "apart", "east"));
        small.accept(1, "safe", 7).accept(2, "safe", 7).accept(3, "safe", 7);
        assertEquals(1, small.rejected.size());
    }
}
