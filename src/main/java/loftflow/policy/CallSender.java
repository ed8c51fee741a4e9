package loftflow.policy;

import java.util.List;

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

    CallSender(
            RoundContext context,
            PendingMessages messages,
            KeyOrder keyOrder,
            RetryPolicy retryPolicy,
            AttemptTimeouts timeouts,
            SendRateLimiter rateLimiter,
            SendPermits permits,
            ConcurrencyLimiter concurrency) {
        this.context = context;
        this.messages = messages;
        this.keyOrder = keyOrder;
        this.retryPolicy = retryPolicy;
        this.timeouts = timeouts;
        this.rateLimiter = rateLimiter;
        this.permits = permits;
        this.concurrency = concurrency;
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
        boolean mayShare = !isProbe && timeouts.mayShareCall(message, route);
        addAttempt(message, call, mayShare);
        if (mayShare && route.maxBatchSize > 1) {
            fillBatch(message.destination, call);
        }
        return call;
    }

    private void fillBatch(Destination destination, Call call) {
        for (PendingMessage message : List.copyOf(destination.waitingMessages)) {
            if (call.pendingOutcomes < call.route.maxBatchSize
                    && keyOrder.isNextInOrder(message)
                    && timeouts.mayShareCall(message, call.route)
                    && retryPolicy.isAllowed(message, call.route)) {
                addAttempt(message, call, true);
            }
        }
    }

    private void addAttempt(PendingMessage message, Call call, boolean mayShareCall) {
        // A repeat must not wait for a connection beyond its key window, as the destination would then execute it
        // again.
        long sendTimeoutMicros = retryPolicy.keyWindowLeftMicros(message);
        messages.dequeue(message);
        message.attempts.add(new Attempt(call));
        message.attemptsInFlight++;
        call.pendingOutcomes++;
        call.messages.add(message);
        context.actions()
                .send(
                        message.id,
                        call.route.name,
                        timeouts.timeoutMicros(message, call),
                        sendTimeoutMicros,
                        mayShareCall);
    }
}
