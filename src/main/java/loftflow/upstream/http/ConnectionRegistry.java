package loftflow.upstream.http;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Tracks the connections to all hosts and limits their number. At the limit, idle connections whose outcomes are proven
 * are evicted first, then those that only await a late response, then retired ones, then all other idle ones. A pool
 * that cannot open a connection even so is starved until one closes. Must be used on the event loop.
 */
final class ConnectionRegistry {
    /** At most the connection limit divided by this number may await a late response at the same time. */
    private static final int LATE_RESPONSE_DIVISOR = 4;

    private final int maxConnections;
    private final Set<UpstreamConnection> open = new HashSet<>();
    /** Idle connections of all hosts, longest idle first. */
    private final Set<UpstreamConnection> idle = new LinkedHashSet<>();
    /** Connections that await a late response, longest waiting first. */
    private final Set<UpstreamConnection> awaitingLateResponse = new LinkedHashSet<>();
    /** Connections that carry no more calls and are still read, longest retired first. */
    private final Set<UpstreamConnection> retired = new LinkedHashSet<>();
    /** Pools with queued calls that cannot open a connection until another one closes. */
    private final Set<HostConnectionPool> starvedPools = new LinkedHashSet<>();

    ConnectionRegistry(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Returns whether another connection can be opened only in place of one that is evicted. */
    boolean isFull() {
        return open.size() >= maxConnections;
    }

    /** Returns whether the limit prevents any pool from opening a connection that it needs. */
    boolean hasStarvedPools() {
        return !starvedPools.isEmpty();
    }

    /** Returns whether one more connection may await a late response without delaying queued calls. */
    boolean canAwaitLateResponse() {
        return !hasStarvedPools() && awaitingLateResponse.size() < Math.max(1, maxConnections / LATE_RESPONSE_DIVISOR);
    }

    void addAwaitingLateResponse(UpstreamConnection connection) {
        awaitingLateResponse.add(connection);
    }

    void addRetired(UpstreamConnection connection) {
        retired.add(connection);
    }

    void addIdle(UpstreamConnection connection) {
        idle.add(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idle.remove(connection);
    }

    /**
     * Removes a connection that can no longer carry calls from the candidates for eviction. It counts against the limit
     * until its channel has closed.
     */
    void removeUnusable(UpstreamConnection connection) {
        idle.remove(connection);
        awaitingLateResponse.remove(connection);
        retired.remove(connection);
    }

    /**
     * Makes room for one more connection, evicting others if necessary.
     *
     * @return false if the limit leaves no room; the pool then retries once a connection has closed
     */
    boolean tryReserve(HostConnectionPool pool) {
        // A starved pool may take the place of an evicted connection, so one eviction may not be enough.
        for (UpstreamConnection next = findEvictable();
                open.size() >= maxConnections && next != null;
                next = findEvictable()) {
            next.close(ConnectionCloseReason.EVICTED);
        }
        if (open.size() >= maxConnections) {
            starvedPools.add(pool);
            return false;
        }
        return true;
    }

    private UpstreamConnection findEvictable() {
        return Stream.concat(
                        idle.stream().filter(connection -> !connection.isNeeded()),
                        Stream.of(awaitingLateResponse, retired, idle).flatMap(Set::stream))
                .findFirst()
                .orElse(null);
    }

    void onOpening(UpstreamConnection connection) {
        open.add(connection);
    }

    /** Releases a connection whose channel has closed or was never established; returns false if it was released. */
    boolean onChannelClosed(UpstreamConnection connection) {
        return open.remove(connection);
    }

    /** Lets the pools connect that could not open a connection; to be called when one has closed. */
    void connectStarvedPools() {
        for (HostConnectionPool pool : List.copyOf(starvedPools)) {
            starvedPools.remove(pool);
            pool.connectForQueuedCalls();
        }
    }
}
