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

/** Tests {@link RetryPolicy} through rounds of the complete policy. */
class RetryPolicyTest extends PolicyTestBase {

    private void resume(long id, String requestClass, PastAttempt... pastAttempts) {
        relay.round(new MessageResumed(
                new MessageAccepted(id, requestClass, null, null, relay.now + 15 * SECOND, 1), List.of(pastAttempts)));
    }

    @Test
    void nonIdempotentMessageThatMayHaveExecutedFails() {
        relay.accept(1, "once", 1).advance(MILLISECOND).answer(1, AttemptOutcome.ERROR);
        assertEquals(List.of(1L), relay.failed);
        assertEquals(1, relay.sendCount(1));
    }

    @Test
    void repeatOfAKeyedMessageStaysInItsZoneAndWindow() {
        for (int id = 1_000; id < 1_016; id++) {
            relay.accept(id, "safe", 1).advance(MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        relay.sent.clear();
        relay.accept(1, "keyed", 1).advance(MILLISECOND);
        String firstRoute = relay.sent.get(0).route();
        relay.answer(1, AttemptOutcome.RESET).advance(100 * MILLISECOND);
        assertEquals(2, relay.sendCount(1));
        assertEquals(firstRoute, relay.sent.get(1).route());
        assertEquals(0, relay.sent.get(0).sendTimeoutMicros(), "no send timeout for the first attempt");
        assertEquals(
                relay.sent.get(0).atMicros() + 6 * SECOND,
                relay.sent.get(1).atMicros() + relay.sent.get(1).sendTimeoutMicros());
        relay.advance(7 * SECOND).answer(1, AttemptOutcome.RESET).advance(SECOND);
        assertEquals(2, relay.sendCount(1));
    }

    @Test
    void resumedNonIdempotentMessageWithAnUnknownAttemptFailsAtOnce() {
        resume(1, "once", new PastAttempt("a", relay.now - SECOND, null));
        assertEquals(List.of(1L), relay.failed);
        assertEquals(0, relay.sendCount(1));
    }

    @Test
    void resumedNonIdempotentMessageWhoseAttemptsNeverExecutedIsSentAgain() {
        resume(1, "once", new PastAttempt("a", relay.now - SECOND, AttemptOutcome.REJECTED));
        assertEquals(1, relay.sendCount(1));
    }

    @Test
    void resumedKeyedMessageStaysInItsZoneAndWindow() {
        for (int id = 0; id < 4; id++) {
            resume(id, "keyed", new PastAttempt("b", relay.now - SECOND, null));
        }
        assertEquals(4, relay.sent.size());
        assertTrue(relay.sent.stream().allMatch(s -> s.route().equals("b")));
        resume(30, "keyed", new PastAttempt("b", relay.now - 7 * SECOND, null));
        resume(31, "keyed", new PastAttempt("unlisted", relay.now - SECOND, null));
        relay.advance(SECOND);
        assertEquals(0, relay.sendCount(30) + relay.sendCount(31));
        relay.advance(15 * SECOND);
        assertTrue(relay.failed.containsAll(List.of(30L, 31L)));
    }

    @Test
    void attemptsBeforeARestartCountTowardsTheLimit() {
        PastAttempt pastAttempt = new PastAttempt("a", relay.now - SECOND, AttemptOutcome.REJECTED);
        resume(1, "safe", pastAttempt, pastAttempt, pastAttempt, pastAttempt, pastAttempt, pastAttempt);
        assertEquals(0, relay.sendCount(1));
        assertEquals(List.of(1L), relay.rejected);
    }
}
