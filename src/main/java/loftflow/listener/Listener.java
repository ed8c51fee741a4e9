package loftflow.listener;

/** An inbound endpoint for messages, as the shutdown of the relay sees it. For use on the event loop only. */
public interface Listener {
    /** Starts a graceful shutdown: new work goes to other relays where clients can, begun requests are answered. */
    void drain();

    /** Closes connections on which clients have no request; during a drain, where their protocol has no other way. */
    default void closeIdle() {}

    /** Reads pending bytes from sockets, and accepts pending connections. */
    default void readPending() {}

    /** Returns true where every request that was begun has its response. */
    boolean isIdle();

    /** Returns true while a request that was received whole has no response yet. */
    boolean hasRequestInProgress();

    /** Accepts nothing from now on. */
    void stopListening();
}
