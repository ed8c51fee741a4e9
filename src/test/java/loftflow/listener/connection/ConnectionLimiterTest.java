package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests the choice of the connection to evict at the limit, also while bytes are pending on a connection. */
class ConnectionLimiterTest {
    private final List<String> closed = new ArrayList<>();
    private final Map<String, Runnable> pending = new HashMap<>();
    private final AtomicLong nowMicros = new AtomicLong();
    private final ConnectionLimiter<String> limiter = limiter(0);

    private ConnectionLimiter<String> limiter(long minIdleMicros) {
        return new ConnectionLimiter<>(
                2,
                minIdleMicros,
                nowMicros::get,
                c -> pending.getOrDefault(c, () -> {}).run(),
                closed::add);
    }

    @Test
    void oldestUnusedConnectionIsEvictedBeforeTheLongestIdleOne() {
        limiter.onOpened("a");
        limiter.onRequestStarted("a");
        limiter.onIdle("a");
        limiter.onOpened("b");
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
        limiter.onRequestStarted("c");
        limiter.onOpened("d");
        assertEquals(List.of("b", "a"), closed);
        assertEquals(2, limiter.size());
    }

    @Test
    void connectionWithAPendingRequestIsNotEvicted() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> limiter.onRequestStarted("a"));
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
        assertEquals(2, limiter.size());
    }

    @Test
    void newConnectionIsEvictedIfAllOthersHaveRequestsInProgress() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> limiter.onRequestStarted("a"));
        pending.put("b", () -> limiter.onRequestStarted("b"));
        limiter.onOpened("c");
        assertEquals(List.of("c"), closed);
        assertEquals(List.of(), limiter.inactive());
        assertEquals(2, limiter.size());
    }

    @Test
    void pendingCloseOfAConnectionMakesEvictionUnnecessary() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> limiter.onClosed("a"));
        limiter.onOpened("c");
        assertEquals(List.of(), closed);
        assertEquals(List.of("b", "c"), limiter.inactive());
    }

    /** A pending request that is answered while it is read makes its connection the most recently used one. */
    @Test
    void connectionWithAPendingRequestThatIsAnsweredAtOnceIsEvictedLast() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> {
            limiter.onRequestStarted("a");
            limiter.onIdle("a");
        });
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
    }

    /** The client of a recently used connection may already have written its next request. */
    @Test
    void recentlyUsedConnectionIsNotEvicted() {
        ConnectionLimiter<String> strict = limiter(1_000);
        for (String connection : List.of("a", "b")) {
            strict.onOpened(connection);
            strict.onRequestReceived(connection);
            strict.onIdle(connection);
        }
        nowMicros.addAndGet(999);
        strict.onOpened("c");
        assertEquals(List.of("c"), closed);
        nowMicros.addAndGet(1);
        strict.onOpened("d");
        assertEquals(List.of("c", "a"), closed);
    }

    @Test
    void idleTimeStartsAtTheLatestResponse() {
        ConnectionLimiter<String> strict = limiter(1_000);
        strict.onOpened("a");
        strict.onIdle("a");
        strict.onOpened("b");
        strict.onRequestReceived("b");
        nowMicros.addAndGet(1_000);
        strict.onIdle("a");
        strict.onRequestReceived("a");
        strict.onIdle("a");
        strict.onOpened("c");
        assertEquals(List.of("c"), closed);
    }

    /**
     * The client of a request that has been incomplete for the minimum time has timed out. A request whose remaining
     * bytes are pending is read and not evicted.
     */
    @Test
    void longestIncompleteRequestIsEvictedBeforeUnusedAndIdleConnections() {
        limiter.onOpened("a");
        limiter.onRequestStarted("a");
        limiter.onOpened("b");
        nowMicros.addAndGet(ConnectionLimiter.MIN_INCOMPLETE_MICROS - 1);
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
        nowMicros.addAndGet(1);
        pending.put("a", () -> limiter.onRequestReceived("a"));
        limiter.onOpened("d");
        assertEquals(List.of("b", "c"), closed);
        limiter.onRequestStarted("a");
        pending.clear();
        nowMicros.addAndGet(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        limiter.onOpened("e");
        assertEquals(List.of("b", "c", "a"), closed);
        assertEquals(List.of("d", "e"), limiter.inactive());
    }

    @Test
    void connectionThatHasItsLastResponseIsEvictedFirst() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        limiter.onRequestReceived("b");
        limiter.onFinished("b");
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
    }

    @Test
    void eventsOfAnEvictedConnectionAreIgnored() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        limiter.onOpened("c");
        assertEquals(List.of("a"), closed);
        limiter.onRequestStarted("a");
        limiter.onFinished("a");
        limiter.onIdle("a");
        limiter.onOpened("d");
        assertEquals(List.of("a", "b"), closed);
        assertEquals(List.of("c", "d"), limiter.inactive());
    }
}
