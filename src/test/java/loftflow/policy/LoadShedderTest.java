package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link LoadShedder} through rounds of the complete policy. */
class LoadShedderTest extends PolicyTestBase {

    /** No other relay can deliver a resumed message, so arrivals are rejected even if their value is higher. */
    @Test
    void resumedUntriedMessageIsNotShed() {
        PolicyHarness fullRelay =
                new PolicyHarness(PolicyHarness.settings(1, 3)).applyList(route("a", 1, "plain", "east"));
        fullRelay
                .accept(1, "safe", 1)
                .round(resumedMessage(2), resumedMessage(3))
                .accept(4, "quick", 1)
                .accept(5, "quick", 1);
        assertEquals(List.of(4L, 5L), fullRelay.rejected);
        fullRelay
                .answer(1, AttemptOutcome.OK)
                .advance(MILLISECOND)
                .answer(2, AttemptOutcome.OK)
                .advance(MILLISECOND);
        assertEquals(1, fullRelay.sendCount(3));
    }

    @Test
    void fullBufferRejectsTheLowestValueThatMayBeRejected() {
        PolicyHarness fullRelay =
                new PolicyHarness(PolicyHarness.settings(4, 3)).applyList(route("c", 2, "apart", "east"));
        fullRelay.accept(1, "safe", 7).accept(2, "safe", 7).accept(3, "safe", 7);
        assertEquals(1, fullRelay.rejected.size());
    }
}
