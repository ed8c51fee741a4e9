package loftflow.policy;

import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collections;
import java.util.Map;
import java.util.stream.Collectors;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.CallSharing;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PastAttempt;
import org.junit.jupiter.api.Test;

/** Tests which messages share a call where none may be outstanding twice. */
class CallSharingTest {
    private static final int DESTINATION = 3;
    /** One less than the attempts that the settings allow. */
    private static final int ATTEMPTS_BEFORE_THE_LAST = 5;

    private static PolicyHarness relay(int maxConcurrentCalls) {
        return new PolicyHarness(PolicyHarness.settings(maxConcurrentCalls, 100))
                .applyList(route("d", DESTINATION, "bulk", "east"));
    }

    private static MessageAccepted accepted(PolicyHarness relay, long id, String requestClass) {
        return new MessageAccepted(id, requestClass, null, "key-" + id, relay.now + 20 * SECOND, DESTINATION);
    }

    private static Map<Long, CallSharing> sharings(PolicyHarness relay) {
        return relay.sent.stream().collect(Collectors.toMap(PolicyHarness.Sent::id, PolicyHarness.Sent::sharing));
    }

    /** A settlement kept a call out whose other messages had timed out and were sent again. */
    @Test
    void messageThatIsRepeatedSharesNoCallWithASettlement() {
        PolicyHarness relay = relay(10);
        relay.round(accepted(relay, 1, "safe"), accepted(relay, 2, "once"), accepted(relay, 3, "keyed"));
        assertEquals(
                Map.of(
                        1L, CallSharing.UNTIL_TIMEOUT,
                        2L, CallSharing.UNTIL_DEADLINE,
                        3L, CallSharing.UNTIL_TIMEOUT),
                sharings(relay));
    }

    /** The last attempt of a message, which is awaited until its deadline, kept a call out in the same way. */
    @Test
    void messageThatIsRepeatedSharesNoCallWithALastAttempt() {
        PolicyHarness relay = relay(10);
        PastAttempt past = new PastAttempt("d", relay.now, AttemptOutcome.RESET);
        relay.round(
                new MessageResumed(accepted(relay, 1, "safe"), Collections.nCopies(ATTEMPTS_BEFORE_THE_LAST, past)),
                accepted(relay, 2, "safe"));
        assertEquals(Map.of(1L, CallSharing.UNTIL_DEADLINE, 2L, CallSharing.UNTIL_TIMEOUT), sharings(relay));
    }

    /** Messages that were kept apart waited for another call, though one had room for all of them. */
    @Test
    void messagesShareACallWhileNoOtherMayBeSent() {
        PolicyHarness relay = relay(1);
        relay.round(accepted(relay, 1, "safe"), accepted(relay, 2, "once"), accepted(relay, 3, "keyed"));
        assertEquals(Map.of(1L, CallSharing.ANY, 2L, CallSharing.ANY, 3L, CallSharing.ANY), sharings(relay));
    }
}
