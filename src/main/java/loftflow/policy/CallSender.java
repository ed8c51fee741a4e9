package loftflow.policy;

import java.util.List;
import loftflow.policy.api.CallSharing;

/**
 * Sends a call to a route: records it with the rate limiter, the permits and the concurrency limiter, and fills it with
 * further waiting messages of the destination up to the route's batch size. Makes no decisions itself.
 */
final class CallSender {
    private final RoundContext context;
    private final PendingMessages messages;
    private final KeyOrder keyOrder;
    private final RetryPolicy retryPolicy;
    private final AttemptTimeouts timeouts;
    private final SendRateLimiter rateLimiter;
    private final SendPermits permits;
    private final ConcurrencyLimiter concurrency;
    private final RouteAvailability availability;

    CallSender(
            RoundContext context,
            PendingMessages messages,
            KeyOrder keyOrder,
            RetryPolicy retryPolicy,
            AttemptTimeouts timeouts,
            SendRateLimiter rateLimiter,
            SendPermits permits,
            ConcurrencyLimiter concurrency,
            RouteAvailability availability) {
        this.context = context;
        this.messages = messages;
        this.keyOrder = keyOrder;
        this.retryPolicy = retryPolicy;
        this.timeouts = timeouts;
        this.rateLimiter = rateLimiter;
        this.permits = permits;
        this.concurrency = concurrency;
        this.availability = availability;
    }

    /**
     * Sends a message and returns the call that carries it. A probe carries no further messages, nor does the call of a
     * message that may not share one.
     */
    Call send(PendingMessage message, Route route, boolean isProbe) {
        Call call = new Call(route, context.now(), isProbe);
        concurrency.onSent(call);
        route.group.sentCalls.increment(context.now());
        permits.onSent(route.group);
        rateLimiter.onSent(route.group);
        boolean areCallsScarce = route.maxBatchSize > 1 && !isAnyRouteUsable(message.destination);
        CallSharing sharing = isProbe ? CallSharing.NONE : timeouts.sharing(message, route, areCallsScarce);
        addAttempt(message, call, sharing);
        if (sharing != CallSharing.NONE && route.maxBatchSize > 1) {
            fillBatch(message.destination, call, areCallsScarce);
        }
        return call;
    }

    /** Returns whether another call to the destination may be sent now. */
    private boolean isAnyRouteUsable(Destination destination) {
        return destination.routes.values().stream().anyMatch(availability::isUsable);
    }

    private void fillBatch(Destination destination, Call call, boolean areCallsScarce) {
        for (PendingMessage message : List.copyOf(destination.waitingMessages)) {
            if (call.pendingOutcomes >= call.route.maxBatchSize) {
                return;
            }
            CallSharing sharing = timeouts.sharing(message, call.route, areCallsScarce);
            if (keyOrder.isNextInOrder(message)
                    && sharing.isCompatibleWithAll(call.sharings)
                    && retryPolicy.isAllowed(message, call.route)) {
                addAttempt(message, call, sharing);
            }
        }
    }

    private void addAttempt(PendingMessage message, Call call, CallSharing sharing) {
        // A repeat must not wait for a connection beyond its key window, as the destination would then execute it
        // again.
        long sendTimeoutMicros = retryPolicy.keyWindowLeftMicros(message);
        messages.dequeue(message);
        message.attempts.add(new Attempt(call));
        message.attemptsInFlight++;
        call.pendingOutcomes++;
        call.messages.add(message);
        call.sharings.add(sharing);
        context.actions()
                .send(message.id, call.route.name, timeouts.timeoutMicros(message, call), sendTimeoutMicros, sharing);
    }
}
