package loftflow.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Pauses between tries that fail. */
class BackoffTest {
    @Test
    void growsUpToItsBoundAndBeginsAnewAfterASuccess() {
        Backoff backoff = Backoff.growing(100, 5_000, 1);
        long base = 100;
        for (int i = 0; i < 20; i++) {
            long pause = backoff.nextMs();
            assertTrue(pause >= base / 2 && pause <= base, pause + " of " + base);
            base = Math.min(5_000, 2 * base);
        }
        backoff.succeeded();
        assertTrue(backoff.nextMs() <= 100);
    }

    @Test
    void steadyOneStaysTheSame() {
        Backoff backoff = Backoff.steady(100);
        assertEquals(100, backoff.nextMs());
        assertEquals(100, backoff.nextMs());
    }

    /**
     * A thousand relays that lost discovery at once: once it has been away for a while, no second sees a third of them.
     */
    @Test
    void fleetIsSpreadOverTheSeconds() {
        TreeMap<Long, Integer> asked = new TreeMap<>();
        for (int relay = 0; relay < 1_000; relay++) {
            Backoff backoff = Backoff.growing(100, 5_000, relay);
            for (long at = 0; at < 60_000; at += backoff.nextMs()) {
                asked.merge(at / 1_000, 1, Integer::sum);
            }
        }
        int most = asked.tailMap(20L).values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        assertTrue(most > 200 && most < 333, "in one second: " + most);
    }
}
