package loftflow.policy;

import java.util.Comparator;

/**
 * What is rejected when there is too much? Where the buffer of open messages is full, the waiting message of the lowest
 * current value among those that may safely be rejected, so that a higher-value arrival is still admitted. Messages
 * that a restart found untried stay: a rejected arrival can go to another relay, these cannot.
 */
final class LoadShedder {
    private final RoundContext context;
    private final PendingMessages messages;
    private final MessageValue values;
    private final RetryPolicy retryPolicy;
    private final MessageCompleter completer;

    LoadShedder(
            RoundContext context,
            PendingMessages messages,
            MessageValue values,
            RetryPolicy retryPolicy,
            MessageCompleter completer) {
        this.context = context;
        this.messages = messages;
        this.values = values;
        this.retryPolicy = retryPolicy;
        this.completer = completer;
    }

    /** Rejects one message where the buffer is full. */
    void shedIfFull() {
        if (messages.openCount() < context.settings().limits().maxOpenMessages()) {
            return;
        }
        messages.busyDestinations().stream()
                .flatMap(destination -> destination.waitingMessages.stream())
                .filter(message -> !message.isResumedUntried() && retryPolicy.isSafeToReject(message))
                .min(Comparator.comparingDouble(message -> values.valueAt(message, context.now())))
                .ifPresent(completer::endUndelivered);
    }
}
