package loftflow.upstream.http;

/** The connection on which a call is sent. */
interface CallConnection {
    /** Closes the connection at once, because the response of the current call is not awaited any more. */
    void close(ConnectionCloseReason reason);

    /** Stays open only for the late response of the current call. */
    void awaitLateResponse();

    /**
     * Reads bytes that the kernel has received but the event loop has not read. A matching response that is held takes
     * effect, as its call can't wait for longer.
     */
    void readAtTimeout();

    /** Returns the status of the response that is being received; 0 if its status line is not known. */
    int receivedStatus();

    /** Returns whether an earlier response on the connection named the message as rejected. */
    boolean hasRejected(String messageId);

    /** Reports that the response named the message as rejected. */
    void onRejected(String messageId);
}
