package loftflow.upstream.http;

import io.netty.util.concurrent.Future;
import loftflow.memory.MemoryBudget;

/** The owner of a connection, which is the connection pool of its host. */
interface UpstreamConnectionOwner {
    /** Returns the current time in microseconds, on the clock of message deadlines. */
    long nowMicros();

    /** Returns how many times the idle connections to the host have been retired as unreliable. */
    int idleClosures();

    /** Reports that the connection can carry another call. */
    void onReusable(UpstreamConnection connection);

    /**
     * Offers a connection that has just received a response and can carry another call after the reuse delay.
     *
     * @return false if the connection is not pooled, because a call waits for it or it may not stay idle
     */
    boolean offerIdle(UpstreamConnection connection);

    /** Returns how long a connection is quiet before it carries the next call, see {@link ReuseDelay#nanos}. */
    long reuseDelayNanos();

    /** Returns the same delay as if the host had room for more connections. */
    long fullReuseDelayNanos();

    /** Returns what is known of how the host's responses differ. */
    ResponseVariety responseVariety();

    /** Returns the memory limit of responses that hosts have sent in part. */
    MemoryBudget responseMemory();

    /** Returns the memory limit of messages that are kept to correct their outcome. */
    MemoryBudget revocableMemory();

    /** Returns what is known of the host's response times. */
    HostResponseTimes responseTimes();

    /**
     * Reports a response to no call.
     *
     * @param afterNanos the time since the last response on the connection
     * @param retryAfterMicros the back-off that the response requests; 0 for none
     */
    void onUnsolicitedResponse(int status, long afterNanos, long retryAfterMicros);

    /** Returns whether the host has sent an unsolicited response not long ago. */
    boolean isSingleUse();

    /** Reports that the connection carries no more calls, and whether it is still read. */
    void onRetired(UpstreamConnection connection, boolean isStillRead);

    /** Reports that the connection has closed. */
    void onConnectionEnded(
            ConnectionCloseReason retireReason, ConnectionCloseReason closeReason, int callCount, int unprovenCount);

    /** Schedules a task on the event loop. */
    Future<?> schedule(long delayMicros, Runnable task);

    /** Reports that the connection now awaits a late response, and returns for how many microseconds. */
    long onAwaitingLateResponse(UpstreamConnection connection);
}
