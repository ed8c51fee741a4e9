package loftflow.warmstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How much may be written. */
class WriteBudgetTest {
    private static final long SECOND = 1_000_000;
    private static final long RATE = 20_480;

    @Test
    void noSpanHasMoreThanItsPartHoweverMuchIsWanted() {
        SplittableRandom random = new SplittableRandom(14);
        WriteBudget budget = new WriteBudget(RATE, DowntimeEstimate.UNKNOWN, 0);
        List<long[]> written = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextLong(SECOND / 2);
            long size = 1 + random.nextLong(random.nextInt(9) == 0 ? 900_000 : 2_000);
            if (random.nextBoolean() ? budget.takePicture(size, now) : budget.takeNotes(size, now)) {
                written.add(new long[] {now, size});
            }
        }
        assertTrue(written.size() > 1_000, "something is written: " + written.size());
        long total = 0;
        for (int from = 0; from < written.size(); from += 53) {
            total = 0;
            for (int i = from; i < written.size(); i++) {
                total += written.get(i)[1];
                double most = budget.burst() + RATE * (written.get(i)[0] - written.get(from)[0]) / (double) SECOND;
                assertTrue(total <= most + 1, total + " of " + most);
            }
        }
    }

    @Test
    void pictureLeavesRoomForNotes() {
        WriteBudget budget = new WriteBudget(RATE, DowntimeEstimate.UNKNOWN, 0);
        assertFalse(budget.takePicture(budget.burst(), 0));
        assertTrue(budget.takePicture(budget.largestPicture(), 0));
        assertTrue(budget.takeNotes(budget.burst() - budget.largestPicture(), 0));
        assertFalse(budget.takeNotes(1, 0));
        assertTrue(budget.takeNotes(RATE, SECOND));
    }

    @Test
    void tenStartsInTenSecondsWriteNoMoreThanOneProcessWould() {
        long total = 0;
        long last = -DowntimeEstimate.UNKNOWN;
        for (int start = 0; start < 10; start++) {
            long now = start * SECOND;
            WriteBudget budget = new WriteBudget(RATE, now - last, now);
            if (budget.takePicture(600_000, now)) {
                total += 600_000;
                last = now;
            }
        }
        assertEquals(600_000, total);
    }
}
