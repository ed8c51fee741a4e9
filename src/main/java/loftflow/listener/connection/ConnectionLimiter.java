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
 * The connections of a listener and the limit on their number. At the limit, a new connection evicts one that no client
 * works with: in this order one that has its last response, one whose request has been incomplete for too long, one
 * that has sent nothing yet, and one that has been idle for long. Where there is none, the new connection itself is
 * evicted.
 *
 * @param <C> a connection
 */
public final class ConnectionLimiter<C> {
    /** A client waits so long for its response (PROTOCOL, "Clients to relays"); nobody waits for an older request. */
    public static final long MIN_INCOMPLETE_MICROS = TimeUnit.MILLISECONDS.toMicros(400);

    private final int maxConnections;
    private final long minIdleMicros;
    private final Clock clock;
    private final Consumer<C> readPending;
    private final Consumer<C> evict;
    private final Set<C> connections = new HashSet<>();
    /** Connections that have their last response and are not closed yet, oldest first. */
    private final Set<C> finished = new LinkedHashSet<>();
    /** Connections with a part of a request, and the time of its start; oldest first. */
    private final Map<C, Long> incomplete = new LinkedHashMap<>();
    /** Connections that have sent no request yet, oldest first. */
    private final Set<C> unused = new LinkedHashSet<>();
    /** Connections that are idle, and the time of their last response; oldest first. */
    private final Map<C, Long> idle = new LinkedHashMap<>();

    /**
     * Creates a limiter without connections.
     *
     * @param minIdleMicros how long a connection has to be idle since its last response before it may be evicted; a
     *     client that uses it more often may have written its next request
     * @param readPending reads the bytes that are pending on a connection
     * @param evict closes a connection; a request that arrives meanwhile must not be lost
     */
    public ConnectionLimiter(
            int maxConnections, long minIdleMicros, Clock clock, Consumer<C> readPending, Consumer<C> evict) {
        this.maxConnections = maxConnections;
        this.minIdleMicros = minIdleMicros;
        this.clock = clock;
        this.readPending = readPending;
        this.evict = evict;
    }

    /** Adds a new connection. At the limit it evicts another one, or is evicted where there is none. */
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
            // A request that is pending in the socket would get no response.
            readPending.accept(candidate);
            if (connections.size() < maxConnections) {
                return;
            }
            if (candidate.equals(firstEvictable())) {
                // The channel reports its close later, and more connections may be accepted before that.
                onClosed(candidate);
                evict.accept(candidate);
                return;
            }
        }
    }

    /** Returns null where a client may be working with every connection. */
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

    /** The first bytes of a request have arrived, or those of the next one while the response was awaited. */
    public void onRequestStarted(C connection) {
        removeState(connection);
        // An evicted connection may deliver bytes after its removal.
        if (connections.contains(connection)) {
            incomplete.put(connection, clock.micros());
        }
    }

    /** The connection has a request in progress that needs no more bytes. */
    public void onRequestReceived(C connection) {
        removeState(connection);
    }

    /** The connection has a response, and no request is in progress. */
    public void onIdle(C connection) {
        incomplete.remove(connection);
        idle.remove(connection);
        if (connections.contains(connection)) {
            idle.put(connection, clock.micros());
        }
    }

    /** The connection has its last response: nothing more is owed to its client. */
    public void onFinished(C connection) {
        removeState(connection);
        if (connections.contains(connection)) {
            finished.add(connection);
        }
    }

    /** The connection is gone. */
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

    /** The connections without a request in progress. */
    public List<C> inactive() {
        List<C> inactive = new ArrayList<>(finished);
        inactive.addAll(unused);
        inactive.addAll(idle.keySet());
        return inactive;
    }

    /** Returns true where every connection is inactive, or has its last response by the given predicate. */
    public boolean isIdle(Predicate<C> isFinished) {
        return connections.stream()
                .allMatch(connection -> finished.contains(connection)
                        || unused.contains(connection)
                        || idle.containsKey(connection)
                        || isFinished.test(connection));
    }

    /** A copy of the connections, in no particular order. */
    public List<C> all() {
        return List.copyOf(connections);
    }

    /** The number of connections. */
    public int size() {
        return connections.size();
    }
}
