package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RedrivePolicyTest {
    private static final long SECOND = 1_000_000;
    private static final long T = 1_000_000 * SECOND;
    private static final long DAY = 86_400 * SECOND;
    private static final RedrivePolicy RULES = new RedrivePolicy(SECOND, SECOND);

    private static RedrivePolicy.Shelved shelved(Idempotency repeat, KeyScope scope) {
        return new RedrivePolicy.Shelved(
                new RequestClass(
                        "c",
                        repeat,
                        scope,
                        repeat == Idempotency.IDEMPOTENT_BY_KEY ? 30 * SECOND : 0,
                        SECOND,
                        10 * SECOND,
                        1,
                        0,
                        false),
                DAY);
    }

    private static final RedrivePolicy.Shelved SAFE = shelved(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RedrivePolicy.Shelved KEYED = shelved(Idempotency.IDEMPOTENT_BY_KEY, KeyScope.ZONE);
    private static final RedrivePolicy.Shelved UNSAFE = shelved(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    private static DeadLetter entry(DeadLetter.Word word, DeadLetter.Try... tries) {
        return new DeadLetter(
                1,
                new Message.Content("m", "c", null, "k", T + SECOND, 7, new byte[0]),
                T,
                "",
                "failed",
                DeadLetter.State.KEPT,
                T,
                word,
                0,
                List.of(tries));
    }

    private static DeadLetter.Try tried(long at, AttemptOutcome result, String building) {
        return new DeadLetter.Try("r-" + building, building, at, result);
    }

    private static DeadLetter.Try tried(AttemptOutcome result) {
        return tried(T - SECOND, result, "b0");
    }

    private static void now(RedrivePolicy.Verdict verdict) {
        assertInstanceOf(RedrivePolicy.Now.class, verdict, verdict.toString());
    }

    private static void afterWord(RedrivePolicy.Verdict verdict, String why) {
        assertTrue(
                assertInstanceOf(RedrivePolicy.AfterWord.class, verdict, verdict.toString())
                        .why()
                        .contains(why),
                verdict.toString());
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void unsafeGoesByItselfOnlyWhereEveryAttemptIsProvenNeverToHaveRun(AttemptOutcome result) {
        RedrivePolicy.Verdict verdict = RULES.decide(
                entry(null, tried(AttemptOutcome.REJECTED), tried(result)), UNSAFE, T + 5 * SECOND, T - DAY);
        switch (result) {
            case REJECTED, CONNECT_FAILED, NOT_SENT -> now(verdict);
            case OK -> assertInstanceOf(RedrivePolicy.Over.class, verdict);
            default -> afterWord(verdict, "may have run");
        }
    }

    @Test
    void unknownOutcomeNeverBecomesNeverByAgeOrRestart() {
        for (long age : new long[] {SECOND, DAY / 2, 30 * DAY}) {
            afterWord(RULES.decide(entry(null, tried(null)), UNSAFE, T + age, T - DAY), "");
            afterWord(RULES.decide(entry(null, tried(AttemptOutcome.TIMEOUT)), UNSAFE, T + age, T + age), "");
        }
    }

    @Test
    void wordOfAPersonSpeaksOfTheAttemptsUntilThenAlone() {
        DeadLetter.Word word = new DeadLetter.Word("clerk", "not in the books", 1, T + SECOND);
        now(RULES.decide(entry(word, tried(AttemptOutcome.TIMEOUT)), UNSAFE, T + 2 * SECOND, T - DAY));
        afterWord(
                RULES.decide(
                        entry(word, tried(AttemptOutcome.TIMEOUT), tried(T + 3 * SECOND, AttemptOutcome.RESET, "b0")),
                        UNSAFE,
                        T + 9 * SECOND,
                        T - DAY),
                "may have run");
        now(RULES.decide(
                entry(word, tried(AttemptOutcome.TIMEOUT), tried(T + 3 * SECOND, AttemptOutcome.REJECTED, "b0")),
                UNSAFE,
                T + 9 * SECOND,
                T - DAY));
    }

    @Test
    void lateProofEndsIt() {
        DeadLetter.Word word = new DeadLetter.Word("clerk", "not in the books", 1, T + SECOND);
        assertInstanceOf(
                RedrivePolicy.Over.class,
                RULES.decide(entry(word, tried(AttemptOutcome.OK)), UNSAFE, T + 2 * SECOND, T - DAY));
    }

    @Test
    void keyedGoesWithinItsWindowLessTheMarginFromTheFirstPossibleEffect() {
        DeadLetter one =
                entry(null, tried(T - 20 * SECOND, AttemptOutcome.TIMEOUT, "b0"), tried(T, AttemptOutcome.RESET, "b0"));
        RedrivePolicy.Now now =
                assertInstanceOf(RedrivePolicy.Now.class, RULES.decide(one, KEYED, T + 8 * SECOND, T - DAY));
        assertEquals(T - 20 * SECOND + 30 * SECOND - SECOND, now.deadline(), "the window is the deadline");
        assertEquals(List.of(new PastAttempt("r-b0", T - 20 * SECOND, AttemptOutcome.TIMEOUT)), now.past());
        afterWord(RULES.decide(one, KEYED, T + 9 * SECOND, T - DAY), "key window is over");
    }

    @Test
    void keyedThatNeverRanIsNotBoundByTheWindow() {
        now(RULES.decide(entry(null, tried(AttemptOutcome.REJECTED)), KEYED, T + DAY / 2, T - DAY));
    }

    @Test
    void keysThatSeveralBuildingsMayHaveSeenNeedAWord() {
        DeadLetter two =
                entry(null, tried(T - SECOND, AttemptOutcome.TIMEOUT, "b0"), tried(T, AttemptOutcome.TIMEOUT, "b1"));
        afterWord(RULES.decide(two, KEYED, T + SECOND, T - DAY), "several places");
        now(RULES.decide(two, shelved(Idempotency.IDEMPOTENT_BY_KEY, KeyScope.ALL), T + SECOND, T - DAY));
        afterWord(
                RULES.decide(entry(null, tried(T, AttemptOutcome.TIMEOUT, "")), KEYED, T + SECOND, T - DAY),
                "several places");
    }

    @Test
    void windowIsNotMeasuredAcrossARestartNorByAClockThatWasSetBack() {
        DeadLetter one = entry(null, tried(T, AttemptOutcome.TIMEOUT, "b0"));
        afterWord(RULES.decide(one, KEYED, T + 2 * SECOND, T + SECOND), "restart");
        afterWord(RULES.decide(one, KEYED, T - 5 * SECOND, T - DAY), "clock");
        afterWord(RULES.decide(one, KEYED, T + DAY, T - DAY), "over");
    }

    @Test
    void shelfLifeEndsWhatGoesByItself() {
        now(RULES.decide(entry(null, tried(AttemptOutcome.TIMEOUT)), SAFE, T + DAY - 1, T - DAY));
        afterWord(RULES.decide(entry(null, tried(AttemptOutcome.TIMEOUT)), SAFE, T + DAY + 1, T - DAY), "shelf life");
        afterWord(
                RULES.decide(entry(null, tried(AttemptOutcome.REJECTED)), UNSAFE, T + DAY + 1, T - DAY), "shelf life");
        now(RULES.decide(
                entry(new DeadLetter.Word("clerk", "still wanted", 1, T), tried(AttemptOutcome.REJECTED)),
                UNSAFE,
                T + 2 * DAY,
                T - DAY));
    }

    @Test
    void pauseGrowsWithEachTryUpToABound() {
        DeadLetter once = entry(null);
        assertEquals(T + SECOND, RULES.nextTry(once, T));
        DeadLetter often = new DeadLetter(1, once.content(), T, "", "", DeadLetter.State.KEPT, T, null, 40, List.of());
        assertEquals(T + 64 * SECOND, RULES.nextTry(often, T));
    }

    @Test
    void classThatIsNotKnownAnyMoreNeedsAWord() {
        afterWord(RULES.decide(entry(null), null, T, T - DAY), "not known any more");
    }
}
