package loftflow.upstream.http;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections to all hosts and the limit on their number. When the limit is reached, idle connections are evicted,
 * then those that only await a late response; pools that still get none are starved until a connection closes. For use
 * on the event loop only.
 */
final class ConnectionRegistry {
    /** One connection in so many may await a late response. */
    private static final int LATE_RESPONSE_DIVISOR = 4;

    private final int maxConnections;
    private final Set<UpstreamConnection> open = new HashSet<>();
    /** Idle and settling connections of all hosts, the one that has been idle longest first. */
    private final Set<UpstreamConnection> idle = new LinkedHashSet<>();
    /** Connections that await a late response, the one that has waited longest first. */
    private final Set<UpstreamConnection> awaitingLateResponse = new LinkedHashSet<>();
    /** Pools whose calls wait until a connection closes, since the limit is reached. */
    private final Set<HostConnectionPool> starvedPools = new LinkedHashSet<>();

    ConnectionRegistry(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Returns true where calls to some host wait because the limit is reached. */
    boolean hasStarvedPools() {
        return !starvedPools.isEmpty();
    }

    /** Returns true where one more connection may await a late response, without delaying calls that are in time. */
    boolean canAwaitLateResponse() {
        return !hasStarvedPools() && awaitingLateResponse.size() < Math.max(1, maxConnections / LATE_RESPONSE_DIVISOR);
    }

    void addAwaitingLateResponse(UpstreamConnection connection) {
        awaitingLateResponse.add(connection);
    }

    void addIdle(UpstreamConnection connection) {
        idle.add(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idle.remove(connection);
    }

    /** The connection can carry no calls any more; it counts against the limit until its channel has closed. */
    void removeUnusable(UpstreamConnection connection) {
        idle.remove(connection);
        awaitingLateResponse.remove(connection);
    }

    /**
     * Makes a connection possible within the limit, where necessary by evictions.
     *
     * @return false where the limit is reached; the pool is then called back once a connection has closed
     */
    boolean tryReserve(HostConnectionPool pool) {
        // An evicted connection may go to a pool that was starved before, so that one eviction may not be enough.
        while (open.size() >= maxConnections && hasEvictable()) {
            Set<UpstreamConnection> evictable = idle.isEmpty() ? awaitingLateResponse : idle;
            evictable.iterator().next().close();
        }
        if (open.size() >= maxConnections) {
            starvedPools.add(pool);
            return false;
        }
        return true;
    }

    private boolean hasEvictable() {
        return !idle.isEmpty() || !awaitingLateResponse.isEmpty();
    }

    void onOpening(UpstreamConnection connection) {
        open.add(connection);
    }

    /** A connection's channel has closed, or never came up: starved pools may connect. */
    void onChannelClosed(UpstreamConnection connection) {
        if (open.remove(connection)) {
            for (HostConnectionPool pool : List.copyOf(starvedPools)) {
                starvedPools.remove(pool);
                pool.connectForQueuedCalls();
            }
        }
    }
}
