package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the adaptation of the offered number of streams to the load. */
class ConcurrentStreamLimitTest {
    private static final ConcurrentStreamLimit.Load LOW_LOAD = new ConcurrentStreamLimit.Load(0.1, 1_000, 0);

    @Property(tries = 200)
    void offersStayWithinTheTotalAndRecover(
            @ForAll @IntRange(min = 1, max = 20) int minPerConnection,
            @ForAll @IntRange(min = 0, max = 200) int maxExtra,
            @ForAll @IntRange(min = 0, max = 4_000) int totalExtra,
            @ForAll long seed) {
        ConcurrentStreamLimit.Bounds bounds = new ConcurrentStreamLimit.Bounds(
                minPerConnection, minPerConnection + maxExtra, minPerConnection + maxExtra + totalExtra);
        ConcurrentStreamLimit limit = new ConcurrentStreamLimit(bounds);
        Random random = new Random(seed);
        long nowMicros = 0;
        int before = limit.perConnection(1);
        long changedAtMicros = -ConcurrentStreamLimit.MIN_STEP_MICROS;
        for (int i = 0; i < 200; i++) {
            nowMicros += random.nextInt(200_000);
            limit.observe(
                    new ConcurrentStreamLimit.Load(random.nextDouble(), random.nextInt(300_000), random.nextInt(3)),
                    nowMicros);
            int perConnection = limit.perConnection(1);
            if (perConnection != before) {
                assertTrue(
                        nowMicros - changedAtMicros >= ConcurrentStreamLimit.MIN_STEP_MICROS,
                        "microseconds between changes: " + (nowMicros - changedAtMicros));
                changedAtMicros = nowMicros;
                before = perConnection;
            }
            int busyConnections = 1 + random.nextInt(300);
            assertTrue(limit.perConnection(busyConnections) >= minPerConnection
                    && limit.perConnection(busyConnections) <= bounds.maxPerConnection());
            assertTrue((long) limit.perConnection(busyConnections) * busyConnections
                    <= Math.max(bounds.maxTotal(), (long) minPerConnection * busyConnections));
        }
        for (int i = 0; i < 100; i++) {
            limit.observe(LOW_LOAD, nowMicros += ConcurrentStreamLimit.MIN_STEP_MICROS);
        }
        assertEquals(bounds.maxPerConnection(), limit.perConnection(1), "the maximum is offered again under low load");
    }

    @ParameterizedTest
    @CsvSource({"0.9, 0, 0", "0.1, 200000, 0", "0.1, 0, 1"})
    void eachKindOfOverloadHalvesTheOfferDownToTheMinimum(double utilization, long lagMicros, int rejections) {
        ConcurrentStreamLimit limit = new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 100, 400));
        List<Integer> offered = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            limit.observe(
                    new ConcurrentStreamLimit.Load(utilization, lagMicros, rejections),
                    i * ConcurrentStreamLimit.MIN_STEP_MICROS);
            offered.add(limit.perConnection(4));
        }
        assertEquals(List.of(50, 25, 12, 6, 3, 2, 2), offered.subList(0, 7));
        assertEquals(2, offered.get(11));
    }

    @Test
    void moderateLoadChangesNothingAndTheTotalIsEnforced() {
        ConcurrentStreamLimit limit = new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 100, 400));
        limit.observe(new ConcurrentStreamLimit.Load(0.9, 0, 0), 0);
        int perConnection = limit.perConnection(1);
        for (int i = 1; i < 50; i++) {
            limit.observe(new ConcurrentStreamLimit.Load(0.7, 0, 0), i * ConcurrentStreamLimit.MIN_STEP_MICROS);
            assertEquals(perConnection, limit.perConnection(1));
        }
        assertTrue(limit.allowsNewStream(399));
        assertFalse(limit.allowsNewStream(400));
        assertThrows(IllegalArgumentException.class, () -> new ConcurrentStreamLimit.Bounds(3, 2, 9));
    }

    @ParameterizedTest
    @CsvSource({
        "100, 80, false",
        "100, 70, true",
        "100, 120, false",
        "100, 130, true",
        "2, 3, true",
        "3, 3, false",
        "180, 200, true",
        "200, 200, false"
    })
    void smallChangesAreNotAnnounced(int lastSent, int current, boolean isAnnounced) {
        assertEquals(
                isAnnounced,
                new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 200, 400))
                        .shouldAnnounce(lastSent, current));
    }
}
