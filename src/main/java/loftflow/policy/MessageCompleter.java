package loftflow.policy;

/**
 * Ends messages that are not delivered. A message is rejected if handing it in again cannot cause a second effect, with
 * a Retry-After if clients are given one; otherwise it fails. Every message gets exactly one final answer.
 */
final class MessageCompleter {
    private static final long DEFAULT_RETRY_AFTER_MICROS = RoundContext.MICROS_PER_SECOND;
    private static final long MIN_RETRY_AFTER_MICROS = RoundContext.MICROS_PER_SECOND / 2;

    private final RoundContext context;
    private final PendingMessages messages;
    private final RetryPolicy retryPolicy;
    private final RouteAvailability availability;

    MessageCompleter(
            RoundContext context, PendingMessages messages, RetryPolicy retryPolicy, RouteAvailability availability) {
        this.context = context;
        this.messages = messages;
        this.retryPolicy = retryPolicy;
        this.availability = availability;
    }

    /** Queues a message without an attempt in flight for another attempt, or ends it if none is allowed. */
    void retryOrEnd(PendingMessage message) {
        if (retryPolicy.mayRetry(message)) {
            messages.enqueue(message);
        } else {
            endUndelivered(message);
        }
    }

    /** Ends a message without an attempt in flight as undelivered. */
    void endUndelivered(PendingMessage message) {
        if (retryPolicy.isSafeToReject(message)) {
            boolean suppliesRetryAfter = context.settings().limits().retryAfter();
            context.actions().reject(message.id, suppliesRetryAfter ? retryAfterMicros(message) : 0);
        } else {
            context.actions().fail(message.id);
        }
        messages.finish(message);
    }

    /**
     * Ends messages whose deadline has passed; a message with an attempt in flight ends with the outcome of that
     * attempt.
     */
    void endExpired() {
        for (PendingMessage message = messages.pollExpired(); message != null; message = messages.pollExpired()) {
            if (message.attemptsInFlight == 0) {
                message.destination.expirations.increment(context.now());
                endUndelivered(message);
            }
        }
    }

    /** Returns the time until a route of the message's destination may be usable again. */
    private long retryAfterMicros(PendingMessage message) {
        long nextUseAt = message.destination.routes.values().stream()
                .filter(route -> route.listed)
                .mapToLong(availability::nextUseAtMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        return nextUseAt == Long.MAX_VALUE
                ? DEFAULT_RETRY_AFTER_MICROS
                : Math.max(MIN_RETRY_AFTER_MICROS, nextUseAt - context.now());
    }
}
