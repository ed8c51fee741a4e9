package loftflow.experiment.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a partner's limit takes, and tells. */
class EmulatedRateLimitTest {
    private static final long SECOND = 1_000_000;

    /** Calls at even distances for ten seconds; those served in the last five. */
    @ParameterizedTest
    @CsvSource({
        // Calls a second, whether refused ones count, part of the limit of ten: served a second, left at the end.
        "8, false, 1, 8, 0.2",
        "8, true, 1, 8, 0.2",
        "12, false, 1, 10, 0",
        "12, true, 1, 0, 0",
        "8, false, 0.5, 5, 0",
        "8, true, 0.5, 0, 0",
        "4, true, 0.5, 4, 0.2"
    })
    void limitTakesItsCallsOrNoneWhereRefusedOnesCount(
            int rate, boolean refusalsCount, double part, int served, double left) {
        EmulatedRateLimit limit = new EmulatedRateLimit(10, refusalsCount);
        int taken = 0;
        for (int i = 0; i < 10 * rate; i++) {
            taken += limit.tryAcquire(i * SECOND / rate, part) && i >= 5 * rate ? 1 : 0;
        }
        assertEquals(served, taken / 5);
        assertEquals(left, limit.remainingShare(), 1e-9);
        assertEquals(10 * part, limit.ratePerSecond());
    }
}
