package loftflow.listener.http2;

import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;

/** The open streams of all connections of a listener, and the limit that adapts to load. */
final class StreamCapacity {
    private final ConcurrentStreamLimit limit;
    private int openStreams;
    /** Connections with open streams. */
    private int busyConnections;
    /** Rejections for lack of capacity since the last observation. */
    private int rejections;

    StreamCapacity(ConcurrentStreamLimit.Bounds bounds) {
        limit = new ConcurrentStreamLimit(bounds);
    }

    /**
     * Opens one more stream, unless the limit is reached.
     *
     * @param isFirst whether its connection has no other open stream
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
     * An open stream has closed.
     *
     * @param isLast whether its connection has no other open stream
     */
    void onClosed(boolean isLast) {
        openStreams--;
        busyConnections -= isLast ? 1 : 0;
    }

    /** The number of streams to offer to each connection. */
    int perConnection() {
        return limit.perConnection(busyConnections);
    }

    /** Returns true where a changed offer is to be sent to a connection. */
    boolean shouldAnnounce(int lastSent, int current) {
        return limit.shouldAnnounce(lastSent, current);
    }

    /** A stream or message was rejected for lack of capacity. */
    void onRejected() {
        rejections++;
    }

    /** Adapts the limit to load; to be called periodically. */
    void observe(double utilization, long lagMicros, long nowMicros) {
        limit.observe(new ConcurrentStreamLimit.Load(utilization, lagMicros, rejections), nowMicros);
        rejections = 0;
    }
}
