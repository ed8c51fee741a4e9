package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Who goes when a house is full, and what of that depends on what lies unread. */
class ConnectionLimiterTest {
    private final List<String> closed = new ArrayList<>();
    private final Map<String, Runnable> unread = new HashMap<>();
    private final ConnectionLimiter<String> house =
            new ConnectionLimiter<>(2, c -> unread.getOrDefault(c, () -> {}).run(), closed::add);

    @Test
    void theOneThatHasStoodLongestGoesAndSilentOnesGoFirst() {
        house.opened("a");
        house.began("a");
        house.fellIdle("a");
        house.opened("b");
        house.opened("c");
        assertEquals(List.of("b"), closed);
        house.began("c");
        house.opened("d");
        assertEquals(List.of("b", "a"), closed);
        assertEquals(2, house.size());
    }

    @Test
    void oneWhoseRequestLiesUnreadStays() {
        house.opened("a");
        house.opened("b");
        unread.put("a", () -> house.began("a"));
        house.opened("c");
        assertEquals(List.of("b"), closed);
        assertEquals(2, house.size());
    }

    @Test
    void theNewOneGoesWhereAllHaveBegun() {
        house.opened("a");
        house.opened("b");
        unread.put("a", () -> house.began("a"));
        unread.put("b", () -> house.began("b"));
        house.opened("c");
        assertEquals(List.of("c"), closed);
        assertEquals(List.of(), house.standing());
        assertEquals(2, house.size());
    }

    @Test
    void oneWhoseEndLiesUnreadMakesTheRoom() {
        house.opened("a");
        house.opened("b");
        unread.put("a", () -> house.closed("a"));
        house.opened("c");
        assertEquals(List.of(), closed);
        assertEquals(List.of("b", "c"), house.standing());
    }

    /** Answered at once, it stands again: it has stood shortest then, and no connection is looked at twice. */
    @Test
    void oneThatIsAnsweredAtOnceStandsBehindTheOthers() {
        house.opened("a");
        house.opened("b");
        unread.put("a", () -> {
            house.began("a");
            house.fellIdle("a");
        });
        house.opened("c");
        assertEquals(List.of("b"), closed);
    }
}
