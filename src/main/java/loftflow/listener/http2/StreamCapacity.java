package loftflow.listener.http2;

import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;

/** Counts the open streams of all connections of a listener, and adapts their limit to the load. */
final class StreamCapacity {
    private final ConcurrentStreamLimit limit;
    private int openStreams;
    /** The number of connections with open streams. */
    private int busyConnections;
    /** The number of rejections for lack of capacity since the last observation. */
    private int rejections;

    StreamCapacity(ConcurrentStreamLimit.Bounds bounds) {
        limit = new ConcurrentStreamLimit(bounds);
    }

    /**
     * Counts a new stream, unless the limit is reached.
     *
     * @param isFirst whether the connection has no other open stream
     * @return false if the stream is to be refused
     */
    boolean tryOpen(boolean isFirst) {
        if (!limit.allowsNewStream(openStreams)) {
            rejections++;
            return false;
        }
        openStreams++;
        busyConnections += isFirst ? 1 : 0;
        return true;
    }

    /**
     * Records that a stream has closed.
     *
     * @param isLast whether the connection has no other open stream
     */
    void onClosed(boolean isLast) {
        openStreams--;
        busyConnections -= isLast ? 1 : 0;
    }

    /** Returns the number of concurrent streams to offer to each connection. */
    int perConnection() {
        return limit.perConnection(busyConnections);
    }

    /**
     * Returns whether the current limit differs enough from the one last sent to a connection that it is to be sent.
     */
    boolean shouldAnnounce(int lastSent, int current) {
        return limit.shouldAnnounce(lastSent, current);
    }

    /** Records that a stream or message was rejected for lack of capacity. */
    void onRejected() {
        rejections++;
    }

    /** Adapts the limit to the load; to be called periodically. */
    void observe(double utilization, long lagMicros, long nowMicros) {
        limit.observe(new ConcurrentStreamLimit.Load(utilization, lagMicros, rejections), nowMicros);
        rejections = 0;
    }
}
