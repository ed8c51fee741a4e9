package loftflow.engine;

/**
 * The port through which clients are notified of completions: of every completion other than delivery, and of every
 * completion if the client requested a reply. A notice is repeated until it is acknowledged.
 */
public interface CompletionNotifier {
    /**
     * Sends the notice of {@link Message#completion()}. Once it is acknowledged, during this call or later, the
     * implementation calls {@link DeliveryEngine#onCompletionAcknowledged}. To be called on the event loop.
     */
    void notifyCompletion(Message message);
}
