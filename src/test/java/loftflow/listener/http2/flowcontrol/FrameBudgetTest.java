package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the rate limits of the kinds of frames. */
class FrameBudgetTest {
    private static final long SECOND_MICROS = 1_000_000;

    @ParameterizedTest
    @EnumSource(FrameBudget.Kind.class)
    void floodExceedsTheBudgetAndNormalUseDoesNot(FrameBudget.Kind kind) {
        FrameBudget budget = new FrameBudget(100);
        int admitted = 0;
        while (admitted < 100_000 && budget.tryConsume(kind, 0)) {
            admitted++;
        }
        assertTrue(admitted >= 10 && admitted <= 4_000, kind + " frames admitted in a burst: " + admitted);
        assertTrue(budget.tryConsume(kind, SECOND_MICROS), "the bucket refills within a second");
        FrameBudget slowClient = new FrameBudget(100);
        for (int i = 0; i < 10_000; i++) {
            assertTrue(
                    slowClient.tryConsume(kind, i * SECOND_MICROS / 4),
                    "four frames per second never exceed the budget");
        }
    }

    @Test
    void oneKindOfFrameDoesNotConsumeTheBudgetOfAnother() {
        FrameBudget budget = new FrameBudget(1);
        while (budget.tryConsume(FrameBudget.Kind.PING, 0)) {
            assertTrue(budget.tryConsume(FrameBudget.Kind.WINDOW_UPDATE, 0));
        }
        assertTrue(budget.tryConsume(FrameBudget.Kind.RESET, 0));
    }
}
