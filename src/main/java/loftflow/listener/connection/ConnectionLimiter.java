package loftflow.listener.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The connections of a listener and the limit on their number. At the limit, a new connection evicts the oldest one
 * that has sent nothing yet, or else the one that has been idle longest; where all have a request in progress, the new
 * one is closed.
 *
 * @param <C> a connection
 */
public final class ConnectionLimiter<C> {
    private final int maxConnections;
    private final Consumer<C> readPending;
    private final Consumer<C> close;
    private final Set<C> connections = new HashSet<>();
    /** Connections that have sent no request yet, oldest first. */
    private final Set<C> unused = new LinkedHashSet<>();
    /** Connections that are idle since their last response, the one that has been idle longest first. */
    private final Set<C> idle = new LinkedHashSet<>();

    /**
     * Creates a limiter without connections.
     *
     * @param readPending reads the bytes that are pending on a connection
     * @param close closes a connection
     */
    public ConnectionLimiter(int maxConnections, Consumer<C> readPending, Consumer<C> close) {
        this.maxConnections = maxConnections;
        this.readPending = readPending;
        this.close = close;
    }

    /** Adds a new connection. At the limit it evicts an inactive one, or is closed where there is none. */
    public void onOpened(C connection) {
        if (connections.size() >= maxConnections) {
            evictIdle();
        }
        if (connections.size() >= maxConnections) {
            close.accept(connection);
            return;
        }
        connections.add(connection);
        unused.add(connection);
    }

    /** Evicts the first inactive connection, if there is one. */
    private void evictIdle() {
        for (C candidate : inactive()) {
            // A request that is pending in the socket would get no response.
            readPending.accept(candidate);
            if (connections.size() < maxConnections) {
                return;
            }
            if (isFirstInactive(candidate)) {
                // The channel reports its close later, and more connections may be accepted before that.
                onClosed(candidate);
                close.accept(candidate);
                return;
            }
        }
    }

    /** Returns false for a connection that has a request in progress, and for one that was answered just now. */
    private boolean isFirstInactive(C connection) {
        Set<C> evictable = unused.isEmpty() ? idle : unused;
        return !evictable.isEmpty() && evictable.iterator().next().equals(connection);
    }

    /** The connection has begun a request. */
    public void onRequestStarted(C connection) {
        unused.remove(connection);
        idle.remove(connection);
    }

    /** The connection has its last response, and no request is in progress. */
    public void onIdle(C connection) {
        // An evicted connection may get its last response after its removal.
        if (connections.contains(connection)) {
            idle.add(connection);
        }
    }

    /** The connection is gone. */
    public void onClosed(C connection) {
        connections.remove(connection);
        unused.remove(connection);
        idle.remove(connection);
    }

    /** The connections without a request in progress, in the order of eviction. */
    public List<C> inactive() {
        List<C> inactive = new ArrayList<>(unused);
        inactive.addAll(idle);
        return inactive;
    }

    /** Returns true where every connection is inactive, or has its last response by the given predicate. */
    public boolean isIdle(Predicate<C> isFinished) {
        return connections.stream()
                .allMatch(connection ->
                        unused.contains(connection) || idle.contains(connection) || isFinished.test(connection));
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
