package loftflow.listener.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import loftflow.engine.Clock;

/**
 * Tracks the connections of a listener and limits their number. At the limit, a new connection evicts one that is not
 * in use. Candidates are, in this order: a connection that has its last response, one whose request has been incomplete
 * for {@link #MIN_INCOMPLETE_MICROS}, one that has sent nothing yet, and one that has been idle for the minimum idle
 * time. If there is no candidate, the new connection is evicted.
 *
 * @param <C> the type of a connection
 */
public final class ConnectionLimiter<C> {
    /**
     * The minimum age of an incomplete request for eviction: clients time out after 400 ms without a response
     * (PROTOCOL, "Clients to relays").
     */
    public static final long MIN_INCOMPLETE_MICROS = TimeUnit.MILLISECONDS.toMicros(400);

    private final int maxConnections;
    private final long minIdleMicros;
    private final Clock clock;
    private final Consumer<C> readPending;
    private final Consumer<C> evict;
    private final Set<C> connections = new HashSet<>();
    /** Open connections that have their last response, in the order of those responses. */
    private final Set<C> finished = new LinkedHashSet<>();
    /** The start times of partly received requests by connection, oldest first. */
    private final Map<C, Long> incomplete = new LinkedHashMap<>();
    /** Connections that have sent nothing yet, oldest first. */
    private final Set<C> unused = new LinkedHashSet<>();
    /** The times of the latest responses of idle connections, oldest first. */
    private final Map<C, Long> idle = new LinkedHashMap<>();

    /**
     * Creates a limiter without connections.
     *
     * @param minIdleMicros the minimum time since the latest response of a connection before it may be evicted; a
     *     client that uses it more often may already have written its next request
     * @param readPending reads the bytes that are pending on a connection
     * @param evict closes a connection without losing a request that arrives at the same time
     */
    public ConnectionLimiter(
            int maxConnections, long minIdleMicros, Clock clock, Consumer<C> readPending, Consumer<C> evict) {
        this.maxConnections = maxConnections;
        this.minIdleMicros = minIdleMicros;
        this.clock = clock;
        this.readPending = readPending;
        this.evict = evict;
    }

    /** Adds a connection. At the limit, evicts another one, or the new one if no other can be evicted. */
    public void onOpened(C connection) {
        if (connections.size() >= maxConnections) {
            evictOne();
        }
        if (connections.size() >= maxConnections) {
            evict.accept(connection);
            return;
        }
        connections.add(connection);
        unused.add(connection);
    }

    private void evictOne() {
        for (int attempts = connections.size(); attempts > 0; attempts--) {
            C candidate = firstEvictable();
            if (candidate == null) {
                return;
            }
            // Closing the connection would leave a request that is pending in the socket without a response.
            readPending.accept(candidate);
            if (connections.size() < maxConnections) {
                return;
            }
            if (candidate.equals(firstEvictable())) {
                // Removed at once, as more connections may be accepted before the channel reports its close.
                onClosed(candidate);
                evict.accept(candidate);
                return;
            }
        }
    }

    /**
     * Evicts the connection whose request has been incomplete for longest, unless that is not long or it is the given
     * one.
     *
     * @return whether a connection was evicted
     */
    public boolean evictIncomplete(C requester) {
        C longestIncomplete = firstOlderThan(MIN_INCOMPLETE_MICROS, incomplete);
        if (longestIncomplete == null || longestIncomplete.equals(requester)) {
            return false;
        }
        readPending.accept(longestIncomplete);
        if (!longestIncomplete.equals(firstOlderThan(MIN_INCOMPLETE_MICROS, incomplete))) {
            return false;
        }
        onClosed(longestIncomplete);
        evict.accept(longestIncomplete);
        return true;
    }

    /** Returns the next connection to evict; null if every connection may be in use. */
    private C firstEvictable() {
        if (!finished.isEmpty()) {
            return finished.iterator().next();
        }
        C longestIncomplete = firstOlderThan(MIN_INCOMPLETE_MICROS, incomplete);
        if (longestIncomplete != null) {
            return longestIncomplete;
        }
        return unused.isEmpty()
                ? firstOlderThan(minIdleMicros, idle)
                : unused.iterator().next();
    }

    private C firstOlderThan(long minAgeMicros, Map<C, Long> sinceMicros) {
        if (sinceMicros.isEmpty()) {
            return null;
        }
        Map.Entry<C, Long> oldest = sinceMicros.entrySet().iterator().next();
        return clock.micros() - oldest.getValue() >= minAgeMicros ? oldest.getKey() : null;
    }

    /** Records that a request is partly received, and no earlier request awaits its response. */
    public void onRequestStarted(C connection) {
        removeState(connection);
        // An evicted connection may still deliver bytes.
        if (connections.contains(connection)) {
            incomplete.put(connection, clock.micros());
        }
    }

    /** Records that a completely received request is in progress. */
    public void onRequestReceived(C connection) {
        removeState(connection);
    }

    /** Records that no request is in progress. The idle time starts now. */
    public void onIdle(C connection) {
        incomplete.remove(connection);
        idle.remove(connection);
        if (connections.contains(connection)) {
            idle.put(connection, clock.micros());
        }
    }

    /** Records that the last response has been sent; the connection is about to close. */
    public void onFinished(C connection) {
        removeState(connection);
        if (connections.contains(connection)) {
            finished.add(connection);
        }
    }

    /** Records that the connection is closed. */
    public void onClosed(C connection) {
        connections.remove(connection);
        removeState(connection);
    }

    private void removeState(C connection) {
        finished.remove(connection);
        incomplete.remove(connection);
        unused.remove(connection);
        idle.remove(connection);
    }

    /** Returns the connections without a request in progress. */
    public List<C> inactive() {
        List<C> inactive = new ArrayList<>(finished);
        inactive.addAll(unused);
        inactive.addAll(idle.keySet());
        return inactive;
    }

    /** Returns whether every connection is inactive or, according to a predicate, has its last response. */
    public boolean isIdle(Predicate<C> isFinished) {
        return connections.stream()
                .allMatch(connection -> finished.contains(connection)
                        || unused.contains(connection)
                        || idle.containsKey(connection)
                        || isFinished.test(connection));
    }

    /** Returns a copy of the connections, in no particular order. */
    public List<C> all() {
        return List.copyOf(connections);
    }

    /** Returns the number of connections. */
    public int size() {
        return connections.size();
    }
}
