package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PastAttempt;
import org.junit.jupiter.api.Test;

/** Tests of {@link RetryPolicy}, played through the policy as a whole. */
class RetryPolicyTest extends PolicyTestBase {

    private void resume(long id, String type, PastAttempt... past) {
        relay.round(new MessageResumed(
                new MessageAccepted(id, type, null, null, relay.now + 15 * SECOND, 1), List.of(past)));
    }

    @Test
    void nonIdempotentMessageThatMayHaveExecutedFails() {
        relay.accept(1, "once", 1).advance(MILLISECOND).answer(1, AttemptOutcome.ERROR);
        assertEquals(List.of(1L), relay.failed);
        assertEquals(1, relay.sends(1));
    }

    @Test
    void keyedRepeatStaysInItsZoneAndWindow() {
        for (int id = 1_000; id < 1_016; id++) {
            relay.accept(id, "safe", 1).advance(MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        relay.sent.clear();
        relay.accept(1, "keyed", 1).advance(MILLISECOND);
        String first = relay.sent.get(0).route();
        relay.answer(1, AttemptOutcome.RESET).advance(100 * MILLISECOND);
        assertEquals(2, relay.sends(1));
        assertEquals(first, relay.sent.get(1).route());
        assertEquals(0, relay.sent.get(0).leaveWithinMicros(), "the first may leave whenever");
        assertEquals(
                relay.sent.get(0).atMicros() + 6 * SECOND,
                relay.sent.get(1).atMicros() + relay.sent.get(1).leaveWithinMicros());
        relay.advance(7 * SECOND).answer(1, AttemptOutcome.RESET).advance(SECOND);
        assertEquals(2, relay.sends(1));
    }

    @Test
    void resumedNonIdempotentMessageWithAnUnknownAttemptFailsAtOnce() {
        resume(1, "once", new PastAttempt("a", relay.now - SECOND, null));
        assertEquals(List.of(1L), relay.failed);
        assertEquals(0, relay.sends(1));
    }

    @Test
    void resumedNonIdempotentMessageWhoseAttemptsNeverExecutedIsSentAgain() {
        resume(1, "once", new PastAttempt("a", relay.now - SECOND, AttemptOutcome.REJECTED));
        assertEquals(1, relay.sends(1));
    }

    @Test
    void resumedKeyedMessageStaysInItsZoneAndWindow() {
        for (int id = 0; id < 4; id++) {
            resume(id, "keyed", new PastAttempt("b", relay.now - SECOND, null));
        }
        assertEquals(4, relay.sent.size());
        assertTrue(relay.sent.stream().allMatch(s -> s.route().equals("b")));
        resume(30, "keyed", new PastAttempt("b", relay.now - 7 * SECOND, null));
        resume(31, "keyed", new PastAttempt("left the list", relay.now - SECOND, null));
        relay.advance(SECOND);
        assertEquals(0, relay.sends(30) + relay.sends(31));
        relay.advance(15 * SECOND);
        assertTrue(relay.failed.containsAll(List.of(30L, 31L)));
    }

    @Test
    void attemptsBeforeARestartCount() {
        PastAttempt past = new PastAttempt("a", relay.now - SECOND, AttemptOutcome.REJECTED);
        resume(1, "safe", past, past, past, past, past, past);
        assertEquals(0, relay.sends(1));
        assertEquals(List.of(1L), relay.rejected);
    }
}
