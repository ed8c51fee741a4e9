package loftflow.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What rows become. */
class TraceMappingTest {
    private static final TraceMapping.Scheme SCHEME = new TraceMapping.Scheme(
            List.of(
                    new TraceMapping.Type("status-update", 18, false, 1_000, 64_000, 5_000_000, List.of(1, 2, 3, 4)),
                    new TraceMapping.Type("car-order", 14, true, 2_000, 16_000, 28_000_000, List.of(3, 4)),
                    new TraceMapping.Type("settlement", 8, false, 500, 64_000, 20_000_000, List.of(1, 2))),
            List.of("grain", "potash"));

    /** Flows as skewed as jobs are: a few have most of the rows. */
    private static List<Row> rows(int count) {
        SplittableRandom random = new SplittableRandom(3);
        List<Row> rows = new ArrayList<>();
        long time = 0;
        for (int i = 0; i < count; i++) {
            time += random.nextInt(20) == 0 ? random.nextLong(500_000) : random.nextLong(100);
            int flow = (int) Math.pow(2_000, random.nextDouble() * random.nextDouble());
            rows.add(new Row(i + 1, time, "user" + flow % 37, "job" + flow, "", Math.exp(3 * random.nextDouble())));
        }
        return rows;
    }

    private static List<TraceMessage> map(List<Row> rows, long seed) {
        TraceMapping mapping = new TraceMapping(SCHEME, seed, 0, 1);
        return rows.stream().map(mapping::call).toList();
    }

    @Test
    void sameSeedGivesTheSameMessagesAndAnotherGivesOthers() {
        List<Row> rows = rows(2_000);
        assertEquals(map(rows, 1), map(rows, 1));
        assertNotEquals(map(rows, 1), map(rows, 2));
    }

    @Test
    void classesKeepTheirSharesHoweverSkewedTheFlowsAre() {
        for (long seed = 0; seed < 20; seed++) {
            List<TraceMessage> calls = map(rows(20_000), seed);
            Map<String, Long> counts =
                    calls.stream().collect(Collectors.groupingBy(TraceMessage::type, Collectors.counting()));
            assertEquals(0.45, counts.get("status-update") / 20_000.0, 0.015, counts.toString());
            assertEquals(0.35, counts.get("car-order") / 20_000.0, 0.015, counts.toString());
            assertEquals(0.20, counts.get("settlement") / 20_000.0, 0.015, counts.toString());
        }
    }

    @Test
    void flowGoesToOneDestinationOfItsClassAndAnOwnerIsOneTenant() {
        List<Row> rows = rows(20_000);
        List<TraceMessage> calls = map(rows, 5);
        Map<String, HashSet<Integer>> destinations = new HashMap<>();
        Map<String, HashSet<String>> tenants = new HashMap<>();
        for (int i = 0; i < rows.size(); i++) {
            TraceMessage call = calls.get(i);
            destinations
                    .computeIfAbsent(call.type() + rows.get(i).flow(), k -> new HashSet<>())
                    .add(call.destination());
            tenants.computeIfAbsent(rows.get(i).owner(), k -> new HashSet<>()).add(call.tenant());
            TraceMapping.Type type = SCHEME.types().stream()
                    .filter(t -> t.name().equals(call.type()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(type.destinations().contains(call.destination()));
            assertEquals(type.keyed(), call.key() != null);
            assertTrue(call.size() >= 1 && call.size() <= type.largest());
            assertEquals(type.budget(), call.budget());
        }
        assertTrue(destinations.values().stream().allMatch(d -> d.size() == 1));
        assertTrue(tenants.values().stream().allMatch(t -> t.size() == 1));
    }

    @Test
    void oneFlowWithNineInTenRowsLoadsOneDestinationOfEachClass() {
        List<Row> rows = IntStream.range(0, 10_000)
                .mapToObj(i -> new Row(i + 1, i, "o", i % 10 == 0 ? "job" + i : "hot", "", 0))
                .toList();
        List<TraceMessage> calls = map(rows, 9);
        for (TraceMapping.Type type : SCHEME.types()) {
            Map<Integer, Long> load = calls.stream()
                    .filter(c -> c.type().equals(type.name()))
                    .collect(Collectors.groupingBy(TraceMessage::destination, Collectors.counting()));
            long all = load.values().stream().mapToLong(Long::longValue).sum();
            long most = load.values().stream().mapToLong(Long::longValue).max().orElseThrow();
            assertTrue(most > 0.85 * all, type.name() + ": " + load);
        }
    }

    @Test
    void keysDifferAndTimesAreShiftedAndScaledAlone() {
        TraceMapping mapping = new TraceMapping(SCHEME, 1, 1_000, 2);
        List<TraceMessage> calls = rows(3_000).stream()
                .filter(r -> r.time() >= 1_000)
                .map(r -> {
                    TraceMessage call = mapping.call(r);
                    assertEquals((r.time() - 1_000) / 2, call.at());
                    return call;
                })
                .toList();
        List<String> keys =
                calls.stream().map(TraceMessage::key).filter(k -> k != null).toList();
        assertEquals(keys.size(), new HashSet<>(keys).size());
    }

    @Test
    void sizesKeepTheirTail() {
        List<Long> sizes = map(rows(20_000), 1).stream()
                .filter(c -> c.type().equals("status-update"))
                .map(TraceMessage::size)
                .sorted()
                .toList();
        long median = sizes.get(sizes.size() / 2);
        long tail = sizes.get(sizes.size() * 99 / 100);
        assertTrue(tail > 3 * median && median > 100, median + " and " + tail);
    }

    @Test
    void schemeThatCanNotBeHeldIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new TraceMapping.Type("a", 1, false, 1, 1, 1, List.of()));
        assertThrows(
                IllegalArgumentException.class,
                () -> new TraceMapping.Scheme(
                        List.of(new TraceMapping.Type("a", 0, false, 1, 1, 1, List.of(1))), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new TraceMapping(SCHEME, 1, 0, 0));
        TraceMapping none = new TraceMapping(new TraceMapping.Scheme(SCHEME.types(), List.of()), 1, 0, 1);
        assertNull(none.call(new Row(1, 0, "o", "f", "", 1)).tenant());
    }
}
