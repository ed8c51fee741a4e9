package loftflow.policy;

import java.util.List;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;

/**
 * Decides whether a message may be attempted again and at which routes. An idempotent message always may; a
 * non-idempotent one only while every attempt is proven not to have executed. One that is idempotent by key may be
 * repeated at routes that share the key with the first attempt that may have executed, until its key window has passed.
 * The relay's limits bound the number of attempts, and none starts after the deadline. Times are in microseconds.
 */
final class RetryPolicy {
    private final RoundContext context;

    RetryPolicy(RoundContext context) {
        this.context = context;
    }

    /**
     * Returns whether a message without an attempt in flight may be attempted again. Routes are not considered: a
     * message that no route is allowed for, such as one whose key window has passed, waits until its deadline.
     */
    boolean mayRetry(PendingMessage message) {
        boolean attemptsExhausted =
                message.attempts.size() >= context.settings().limits().maxAttempts();
        boolean mayHaveExecuted = message.firstAttemptThatMayHaveExecuted() != null;
        boolean repeatForbidden = mayHaveExecuted && message.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        return context.now() < message.deadlineMicros && !attemptsExhausted && !repeatForbidden;
    }

    /** Returns whether the message may be sent to the route now. */
    boolean isAllowed(PendingMessage message, Route route) {
        Attempt first = message.firstAttemptThatMayHaveExecuted();
        Idempotency idempotency = message.requestClass.idempotency();
        if (first == null || idempotency == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (idempotency == Idempotency.NON_IDEMPOTENT
                || context.now() >= first.call.sentAtMicros + message.requestClass.keyWindowMicros()) {
            return false;
        }
        return switch (message.requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> first.call.route != null && first.call.route.zone.equals(route.zone);
            case CELL -> first.call.route == route;
        };
    }

    boolean isAllowedAtAny(PendingMessage message, List<Route> routes) {
        for (Route route : routes) {
            if (isAllowed(message, route)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how long the destination still recognizes the key of a repeat; 0 if no key window applies. */
    long keyWindowLeftMicros(PendingMessage message) {
        if (message.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY) {
            return 0;
        }
        Attempt first = message.firstAttemptThatMayHaveExecuted();
        return first == null ? 0 : first.call.sentAtMicros + message.requestClass.keyWindowMicros() - context.now();
    }

    /** Returns whether the client may hand the message in again without the risk of a second effect. */
    boolean isSafeToReject(PendingMessage message) {
        return switch (message.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_BY_KEY -> message.requestClass.keyScope() == KeyScope.ALL
                    || message.firstAttemptThatMayHaveExecuted() == null;
            case NON_IDEMPOTENT -> message.firstAttemptThatMayHaveExecuted() == null;
        };
    }
}
