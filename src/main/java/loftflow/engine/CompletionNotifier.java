package loftflow.engine;

/**
 * The port through which ends are told: those other than delivery, and all of messages whose client asked for a reply.
 * Each is told until it has been heard.
 */
public interface CompletionNotifier {
    /**
     * Tells how a message ended; {@link DeliveryEngine#onCompletionAcknowledged} is called once that is known to have
     * been heard.
     */
    void notifyCompletion(Message message);
}
