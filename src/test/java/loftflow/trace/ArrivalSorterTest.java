package loftflow.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import loftflow.trace.ArrivalSorter.Late;
import org.junit.jupiter.api.Test;

/** The order in which rows arrive. */
class ArrivalSorterTest {
    private final RowTally tally = new RowTally();
    private final List<Row> sent = new ArrayList<>();

    private ArrivalSorter arrivals(long window, int most, Late late) {
        return new ArrivalSorter(window, most, late, tally, sent::add);
    }

    private static Row row(long line, long time) {
        return new Row(line, time, "o", "f", "", 1);
    }

    private void feed(ArrivalSorter arrivals, long... times) {
        for (int i = 0; i < times.length; i++) {
            tally.read();
            arrivals.add(row(i + 1, times[i]));
        }
        arrivals.end();
        assertEquals(tally.rowsRead(), tally.rowsSent() + tally.rowsCut() + tally.rowsRejected(), "the figures add up");
    }

    private List<Long> times() {
        return sent.stream().map(Row::time).toList();
    }

    @Test
    void rowsWithinTheWindowComeOutInOrderAndEqualOnesAsInTheFile() {
        feed(arrivals(10, 100, Late.FAIL), 5, 3, 9, 3, 14, 12);
        assertEquals(List.of(3L, 3L, 5L, 9L, 12L, 14L), times());
        assertEquals(List.of(2L, 4L), sent.stream().limit(2).map(Row::line).toList());
    }

    @Test
    void anyShuffleWithinTheWindowIsMended() {
        SplittableRandom random = new SplittableRandom(15);
        for (int round = 0; round < 200; round++) {
            sent.clear();
            long[] times = LongStream.range(0, 300).map(i -> i * 7).toArray();
            long[] shaken = LongStream.of(times)
                    .mapToObj(t -> new long[] {t, t + random.nextLong(100)})
                    .sorted(Comparator.comparingLong(pair -> pair[1]))
                    .mapToLong(pair -> pair[0])
                    .toArray();
            feed(arrivals(100, 1_000, Late.FAIL), shaken);
            assertEquals(LongStream.of(times).boxed().toList(), times());
        }
    }

    @Test
    void lateRowIsDroppedAndToldClampedOrFails() {
        feed(arrivals(10, 100, Late.DROP), 100, 200, 50, 201);
        assertEquals(List.of(100L, 200L, 201L), times());
        assertEquals(List.of(3L), tally.rejected().get(RowFault.LATE).lines());
        sent.clear();
        feed(arrivals(10, 100, Late.CLAMP), 100, 200, 50, 201);
        assertEquals(List.of(100L, 100L, 200L, 201L), times());
        ArrivalSorter fails = arrivals(10, 100, Late.FAIL);
        fails.add(row(1, 100));
        fails.add(row(2, 200));
        assertTrue(assertThrows(ArrivalSorter.LateException.class, () -> fails.add(row(3, 50)))
                .getMessage()
                .contains("line 3"));
    }

    @Test
    void burstBeyondWhatMayBeHeldGoesEarlyAndLosesNothing() {
        feed(arrivals(1_000_000, 10, Late.DROP), LongStream.range(0, 10_000).toArray());
        assertEquals(10_000, sent.size());
    }
}
