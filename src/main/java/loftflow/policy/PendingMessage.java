package loftflow.policy;

import java.util.ArrayList;
import java.util.List;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.RequestClass;

/** A message that was accepted, and how far its delivery has come. */
final class PendingMessage {
    final long id;
    final RequestClass requestClass;
    /** Messages with equal keys are sent one at a time, in the order accepted; null where the class has no order. */
    final String orderingKey;

    final long acceptedAtMicros;
    final long deadlineMicros;
    final Destination destination;
    final List<Attempt> attempts = new ArrayList<>();
    int attemptsInFlight;
    /** It has its final answer. */
    boolean isFinished;
    /** Finished, but whoever is to be notified of that has not acknowledged it. */
    boolean completionUnacknowledged;
    /** It was accepted before a restart. */
    boolean resumed;

    PendingMessage(MessageAccepted event, RequestClass requestClass, Destination destination) {
        id = event.id();
        this.requestClass = requestClass;
        orderingKey = requestClass.ordered() ? event.key() : null;
        deadlineMicros = event.deadlineMicros();
        acceptedAtMicros = deadlineMicros - requestClass.deadlineMicros();
        this.destination = destination;
    }

    /** True where a restart found it without any attempt: no other relay will deliver it. */
    boolean isResumedUntried() {
        return resumed && attempts.isEmpty();
    }

    /** The route of the latest attempt; null where there was none, or its route is not known any more. */
    Route lastRoute() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
    }

    /** The earliest attempt that may have taken effect; null where all are proven not to have executed. */
    Attempt firstAttemptThatMayHaveExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }
}
