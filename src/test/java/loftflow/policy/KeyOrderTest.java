package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageWithdrawn;
import org.junit.jupiter.api.Test;

/** Tests of {@link KeyOrder}, played through the policy as a whole. */
class KeyOrderTest extends PolicyTestBase {

    /**
     * Its completion is reported and not acknowledged, or was so before a restart: the next message of its key waits,
     * one of another key does not.
     */
    @Test
    void unacknowledgedCompletionBlocksItsKeyAlone() {
        relay.unacknowledged.add(1L);
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").accept(3, "ordered", 1, "other");
        assertEquals(
                List.of(1L, 3L), relay.sent.stream().map(PolicyHarness.Sent::id).toList());
        relay.advance(SECOND)
                .answer(1, AttemptOutcome.REJECTED)
                .round(new MessageWithdrawn(1))
                .advance(SECOND);
        assertEquals(0, relay.sends(2));
        relay.round(new CompletionAcknowledged(1)).advance(SECOND);
        assertEquals(1, relay.sends(2));
        relay.round(new CompletionPending(new MessageAccepted(8, "ordered", null, "left", SECOND, 3)));
        relay.accept(9, "ordered", 3, "left").advance(10 * SECOND);
        assertEquals(0, relay.sends(9));
        relay.round(new CompletionAcknowledged(8)).advance(MILLISECOND);
        assertEquals(1, relay.sends(9));
    }

    @Test
    void keysGoOneByOneAndPauseAfterATimeout() {
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").advance(SECOND);
        assertEquals(0, relay.sends(2));
        relay.answer(1, AttemptOutcome.TIMEOUT)
                .advance(10 * MILLISECOND)
                .answer(1, AttemptOutcome.OK)
                .advance(2900 * MILLISECOND);
        assertEquals(0, relay.sends(2), "the key rests");
        relay.advance(200 * MILLISECOND);
        assertEquals(1, relay.sends(2));
    }
}
