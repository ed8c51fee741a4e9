package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which connection is evicted at the limit, also where bytes are pending on one. */
class ConnectionLimiterTest {
    private final List<String> closed = new ArrayList<>();
    private final Map<String, Runnable> pending = new HashMap<>();
    private final ConnectionLimiter<String> limiter =
            new ConnectionLimiter<>(2, c -> pending.getOrDefault(c, () -> {}).run(), closed::add);

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
    void newConnectionIsClosedWhereAllHaveRequestsInProgress() {
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
    void pendingEndOfAConnectionReplacesAnEviction() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> limiter.onClosed("a"));
        limiter.onOpened("c");
        assertEquals(List.of(), closed);
        assertEquals(List.of("b", "c"), limiter.inactive());
    }

    /** A connection that is answered at once is idle for the shortest time, and none is considered twice. */
    @Test
    void connectionThatIsAnsweredAtOnceIsEvictedLast() {
        limiter.onOpened("a");
        limiter.onOpened("b");
        pending.put("a", () -> {
            limiter.onRequestStarted("a");
            limiter.onIdle("a");
        });
        limiter.onOpened("c");
        assertEquals(List.of("b"), closed);
    }
}
