package loftflow.listener;

/** The shutdown operations of a server endpoint that receives messages. For use on the event loop only. */
public interface Listener {
    /**
     * Starts a graceful shutdown: requests that have begun are answered, and clients are told to send new ones to other
     * relays if their protocol allows it.
     */
    void drain();

    /**
     * Closes connections without a request in progress. Used during a drain for protocols that cannot ask clients to
     * reconnect elsewhere; the default does nothing.
     */
    default void closeIdle() {}

    /** Reads pending bytes from the sockets and accepts pending connections. */
    default void readPending() {}

    /** Returns whether every request that has begun has its response. */
    boolean isIdle();

    /** Returns whether a completely received request has no response yet. */
    boolean hasRequestInProgress();

    /** Stops accepting connections. */
    void stopListening();
}
