package loftflow.engine;

/**
 * The port through which any front hands messages in and hears their end. To be called on the event loop only.
 */
public interface MessageAcceptor {
    /** True once a list of hosts is known, also an old one. */
    boolean isReady();

    /**
     * True where the class, the tenant and the destination are known, or may be once discovery has told its
     * list, and a key is there if one is needed.
     */
    boolean recognizes(Message.Content content);

    /** True where the destination is known, or may be once discovery has told its list. */
    boolean hasDestination(int destination);

    /**
     * Takes a message on, whose bytes may have lain unread since a time, and returns it; its client is answered at
     * the end of the round, so that one who leaves meanwhile is noticed and one whose message ends at once hears
     * that instead. Null where the client has its answer already.
     */
    Message accept(Message.Content content, long unreadSince, Message.ClientReply client);

    /** The client left before its answer: nothing is owed to it. */
    void withdraw(Message message);

    /**
     * The client left before its answer and can't take that back: the message goes on, and its end is told as usual.
     */
    void clientDisconnected(Message message);

    /** Which share of the messages that may be open are, from 0 to 1. */
    double utilization();
}
