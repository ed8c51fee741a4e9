package loftflow.policy;

import java.util.Comparator;

/**
 * Rejects messages when the buffer of open messages is full: the waiting message of the lowest current value among
 * those that may safely be rejected, so that an arrival of higher value is still admitted. Messages resumed after a
 * restart without any attempt are exempt, because another relay can accept a rejected arrival but cannot deliver a
 * resumed message.
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

    /** Rejects one message if the buffer is full. */
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
