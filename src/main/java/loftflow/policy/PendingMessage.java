package loftflow.policy;

import java.util.ArrayList;
import java.util.List;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.RequestClass;

/** An accepted message and the state of its delivery. */
final class PendingMessage {
    final long id;
    final RequestClass requestClass;
    /**
     * Messages with equal keys are sent one at a time, in the order accepted; null if the class is unordered or the
     * message has no key.
     */
    final String orderingKey;

    final long acceptedAtMicros;
    final long deadlineMicros;
    final Destination destination;
    final List<Attempt> attempts = new ArrayList<>();
    int attemptsInFlight;
    /** True once the message has its final answer. */
    boolean isFinished;
    /** True if the message is finished but its completion notice has not been acknowledged. */
    boolean completionUnacknowledged;
    /** True if the message was accepted before a restart. */
    boolean resumed;

    PendingMessage(MessageAccepted event, RequestClass requestClass, Destination destination) {
        id = event.id();
        this.requestClass = requestClass;
        orderingKey = requestClass.ordered() ? event.key() : null;
        deadlineMicros = event.deadlineMicros();
        acceptedAtMicros = deadlineMicros - requestClass.deadlineMicros();
        this.destination = destination;
    }

    /** Returns whether a restart found the message without any attempt; no other relay will deliver it. */
    boolean isResumedUntried() {
        return resumed && attempts.isEmpty();
    }

    /** Returns the route of the latest attempt, or null if there was none or its route is no longer known. */
    Route lastRoute() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
    }

    /** Returns the earliest attempt that may have taken effect, or null if all are proven not to have executed. */
    Attempt firstAttemptThatMayHaveExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }
}
