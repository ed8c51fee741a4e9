package loftflow.engine;

/**
 * The port through which completions are notified: every end other than delivery, and every end of a message whose
 * client requested a reply. A notification is repeated until it is acknowledged.
 */
public interface CompletionNotifier {
    /**
     * Notifies {@link Message#completion()}; {@link DeliveryEngine#onCompletionAcknowledged} is called, now or later,
     * once it is acknowledged. To be called on the event loop.
     */
    void notifyCompletion(Message message);
}
