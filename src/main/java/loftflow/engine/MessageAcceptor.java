package loftflow.engine;

/** The port through which listeners submit messages. To be called on the event loop. */
public interface MessageAcceptor {
    /** True once an endpoint list is known, be it a cached one. */
    boolean isReady();

    /**
     * True where class, tenant and destination are known and the key is present if the class needs one. A destination
     * that the full list may still name counts as known.
     */
    boolean recognizes(Message.Content content);

    /** True where the destination is known, or where the full list that may name it has not been received yet. */
    boolean hasDestination(int destination);

    /**
     * Accepts a message. Its client is answered at the end of the round: until then a disconnect is noticed and
     * withdraws the message, and a message that ends at once is answered with its end.
     *
     * @param unreadSinceMicros the earliest time at which its bytes can have arrived
     * @return the message, or null where the client has been answered already
     */
    Message accept(Message.Content content, long unreadSinceMicros, Message.ClientReply clientReply);

    /** The client disconnected before its answer: nothing is owed for the message. */
    void withdraw(Message message);

    /**
     * The client disconnected before its answer but can't withdraw the message: it is delivered, and its completion
     * notified, as usual.
     */
    void clientDisconnected(Message message);

    /** The share of the open-message limit that is in use, 0 to 1. */
    double utilization();
}
