package loftflow.engine;

/** The port through which listeners submit messages. To be called on the event loop. */
public interface MessageAcceptor {
    /** Returns whether an endpoint list, possibly a cached one, has been received. */
    boolean isReady();

    /**
     * Returns whether request class, tenant and destination are known and the idempotency key is present if the class
     * requires one. Until a full endpoint list has been received, every destination counts as known.
     */
    boolean recognizes(Message.Content content);

    /** Returns whether the destination is known, or no full list, which might name it, has been received yet. */
    boolean hasDestination(int destination);

    /**
     * Accepts or rejects a message. The client of an accepted message is answered at the end of the round: until then
     * the client can still withdraw the message by disconnecting, and a message that completes in that round is
     * answered with its completion.
     *
     * @param unreadSinceMicros the earliest possible arrival time of its bytes, in microseconds since the epoch
     * @return the message, or null if it was not accepted and the client has already been answered
     */
    Message accept(Message.Content content, long unreadSinceMicros, Message.ClientReply clientReply);

    /** Called when the client disconnected before its answer: the message is closed without a notice. */
    void withdraw(Message message);

    /**
     * Called when the client disconnected before its answer but can't withdraw the message: the message is delivered
     * and its completion notified as usual.
     */
    void clientDisconnected(Message message);

    /** Returns the share of the open-message limit that is in use, from 0 to 1. */
    double utilization();
}
