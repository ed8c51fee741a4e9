package loftflow.upstream.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loftflow.engine.Message;

/** Reports attempts of one call that a response names as delivered after they have ended. Not thread-safe. */
final class LateDeliveries {
    private final UpstreamCallOwner owner;
    private List<Message.Attempt> sentAttempts = List.of();
    private Set<String> sentIds = Set.of();
    /** The attempts that were sent and ended before the response, as they timed out or were cancelled. */
    private final List<Message.Attempt> abandonedAttempts = new ArrayList<>();

    LateDeliveries(UpstreamCallOwner owner) {
        this.owner = owner;
    }

    /** Called when the call is sent, with the attempts that it carries. */
    void onSent(PendingAttempts attempts) {
        sentAttempts = attempts.list();
        sentIds = attempts.messageIds();
    }

    /** Returns the ids of all messages that were sent. */
    Set<String> sentIds() {
        return sentIds;
    }

    /** Called when an attempt that was sent ends before the response. */
    void onAbandoned(Message.Attempt attempt) {
        abandonedAttempts.add(attempt);
    }

    /** Reports the abandoned attempts that a response names as delivered, once. */
    void reportAbandoned(CallResponse response, boolean isCounted) {
        report(abandonedAttempts, response, isCounted);
        abandonedAttempts.clear();
    }

    /**
     * Reports all sent attempts that a response names as delivered.
     *
     * @param isCounted whether the host counts such a delivery
     */
    void reportSent(CallResponse response, boolean isCounted) {
        report(sentAttempts, response, isCounted);
    }

    private void report(List<Message.Attempt> attempts, CallResponse response, boolean isCounted) {
        attempts.stream()
                .filter(attempt ->
                        response.reportsDelivery(attempt.message().content().messageId()))
                .forEach(attempt -> owner.onLateDelivery(attempt, isCounted));
    }
}
