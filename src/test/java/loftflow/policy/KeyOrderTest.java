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

/** Tests {@link KeyOrder} through rounds of the complete policy. */
class KeyOrderTest extends PolicyTestBase {

    /**
     * While the completion of a message is not acknowledged, in this run or since before a restart, the next message of
     * its key waits; a message of another key does not.
     */
    @Test
    void unacknowledgedCompletionBlocksOnlyItsKey() {
        relay.unacknowledgedCompletions.add(1L);
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").accept(3, "ordered", 1, "other");
        assertEquals(
                List.of(1L, 3L), relay.sent.stream().map(PolicyHarness.Sent::id).toList());
        relay.advance(SECOND)
                .answer(1, AttemptOutcome.REJECTED)
                .round(new MessageWithdrawn(1))
                .advance(SECOND);
        assertEquals(0, relay.sendCount(2));
        relay.round(new CompletionAcknowledged(1)).advance(SECOND);
        assertEquals(1, relay.sendCount(2));
        relay.round(new CompletionPending(new MessageAccepted(8, "ordered", null, "left", SECOND, 3)));
        relay.accept(9, "ordered", 3, "left").advance(10 * SECOND);
        assertEquals(0, relay.sendCount(9));
        relay.round(new CompletionAcknowledged(8)).advance(MILLISECOND);
        assertEquals(1, relay.sendCount(9));
    }

    @Test
    void messagesOfAKeyAreSentOneAtATimeAndPauseAfterATimeout() {
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").advance(SECOND);
        assertEquals(0, relay.sendCount(2));
        relay.answer(1, AttemptOutcome.TIMEOUT)
                .advance(10 * MILLISECOND)
                .answer(1, AttemptOutcome.OK)
                .advance(2900 * MILLISECOND);
        assertEquals(0, relay.sendCount(2), "the key is paused");
        relay.advance(200 * MILLISECOND);
        assertEquals(1, relay.sendCount(2));
    }
}
