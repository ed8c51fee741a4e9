package loftflow.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the delays between failed attempts. */
class BackoffTest {
    @Test
    void delayDoublesUpToItsMaximumUntilReset() {
        Backoff backoff = Backoff.exponential(100, 5_000, 1);
        long baseMillis = 100;
        for (int i = 0; i < 20; i++) {
            long delayMillis = backoff.nextDelayMillis();
            assertTrue(delayMillis >= baseMillis / 2 && delayMillis <= baseMillis, delayMillis + " of " + baseMillis);
            baseMillis = Math.min(5_000, 2 * baseMillis);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMillis() <= 100);
    }

    @Test
    void constantDelayDoesNotGrow() {
        Backoff backoff = Backoff.constant(100);
        assertEquals(100, backoff.nextDelayMillis());
        assertEquals(100, backoff.nextDelayMillis());
    }

    /**
     * A service fails for a thousand clients at the same time. After a while, no second of the outage has requests from
     * a third of the clients or more.
     */
    @Test
    void retriesOfManyClientsAreSpreadOverTime() {
        TreeMap<Long, Integer> requestsPerSecond = new TreeMap<>();
        for (int client = 0; client < 1_000; client++) {
            Backoff backoff = Backoff.exponential(100, 5_000, client);
            for (long atMillis = 0; atMillis < 60_000; atMillis += backoff.nextDelayMillis()) {
                requestsPerSecond.merge(atMillis / 1_000, 1, Integer::sum);
            }
        }
        int maxRequestsPerSecond = requestsPerSecond.tailMap(20L).values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        assertTrue(
                maxRequestsPerSecond > 200 && maxRequestsPerSecond < 333,
                "requests in one second: " + maxRequestsPerSecond);
    }
}
