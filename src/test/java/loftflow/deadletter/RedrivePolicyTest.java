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

/** Tests decisions by class, outcomes, age, confirmations and clock changes. */
class RedrivePolicyTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STORED_AT_MICROS = 1_000_000 * SECOND_MICROS;
    private static final long DAY_MICROS = 86_400 * SECOND_MICROS;
    private static final RedrivePolicy POLICY = new RedrivePolicy(SECOND_MICROS, SECOND_MICROS);

    private static RedriveClass redriveClass(Idempotency idempotency, KeyScope scope) {
        return new RedriveClass(
                new RequestClass(
                        "c",
                        idempotency,
                        scope,
                        idempotency == Idempotency.IDEMPOTENT_BY_KEY ? 30 * SECOND_MICROS : 0,
                        SECOND_MICROS,
                        10 * SECOND_MICROS,
                        1,
                        0,
                        false),
                DAY_MICROS);
    }

    private static final RedriveClass IDEMPOTENT = redriveClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    private static final RedriveClass KEYED = redriveClass(Idempotency.IDEMPOTENT_BY_KEY, KeyScope.ZONE);
    private static final RedriveClass NON_IDEMPOTENT = redriveClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);

    private static DeadLetter deadLetter(DeadLetter.Confirmation confirmation, DeadLetter.Attempt... attempts) {
        return new DeadLetter(
                1,
                new Message.Content("m", "c", null, "k", STORED_AT_MICROS + SECOND_MICROS, 7, new byte[0]),
                STORED_AT_MICROS,
                "",
                "failed",
                DeadLetter.State.STORED,
                STORED_AT_MICROS,
                confirmation,
                0,
                List.of(attempts));
    }

    private static DeadLetter.Attempt attempt(long sentAtMicros, AttemptOutcome outcome, String zone) {
        return new DeadLetter.Attempt("r-" + zone, zone, sentAtMicros, outcome);
    }

    private static DeadLetter.Attempt attempt(AttemptOutcome outcome) {
        return attempt(STORED_AT_MICROS - SECOND_MICROS, outcome, "b0");
    }

    private static void assertSentNow(RedrivePolicy.Decision decision) {
        assertInstanceOf(RedrivePolicy.SendNow.class, decision, decision.toString());
    }

    private static void assertNeedsConfirmation(RedrivePolicy.Decision decision, String reason) {
        assertTrue(
                assertInstanceOf(RedrivePolicy.NeedsConfirmation.class, decision, decision.toString())
                        .reason()
                        .contains(reason),
                decision.toString());
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void nonIdempotentMessageIsSentOnlyIfEveryAttemptIsProvenNotExecuted(AttemptOutcome outcome) {
        RedrivePolicy.Decision decision = POLICY.decide(
                deadLetter(null, attempt(AttemptOutcome.REJECTED), attempt(outcome)),
                NON_IDEMPOTENT,
                STORED_AT_MICROS + 5 * SECOND_MICROS,
                STORED_AT_MICROS - DAY_MICROS);
        switch (outcome) {
            case REJECTED, CONNECT_FAILED, NOT_SENT -> assertSentNow(decision);
            case OK -> assertInstanceOf(RedrivePolicy.Settled.class, decision);
            default -> assertNeedsConfirmation(decision, "may have run");
        }
    }

    @Test
    void unknownOutcomeStaysUnknownRegardlessOfAgeAndRestart() {
        for (long ageMicros : new long[] {SECOND_MICROS, DAY_MICROS / 2, 30 * DAY_MICROS}) {
            assertNeedsConfirmation(
                    POLICY.decide(
                            deadLetter(null, attempt(null)),
                            NON_IDEMPOTENT,
                            STORED_AT_MICROS + ageMicros,
                            STORED_AT_MICROS - DAY_MICROS),
                    "");
            assertNeedsConfirmation(
                    POLICY.decide(
                            deadLetter(null, attempt(AttemptOutcome.TIMEOUT)),
                            NON_IDEMPOTENT,
                            STORED_AT_MICROS + ageMicros,
                            STORED_AT_MICROS + ageMicros),
                    "");
        }
    }

    @Test
    void confirmationCoversOnlyEarlierAttempts() {
        DeadLetter.Confirmation confirmation =
                new DeadLetter.Confirmation("clerk", "not in their records", 1, STORED_AT_MICROS + SECOND_MICROS);
        assertSentNow(POLICY.decide(
                deadLetter(confirmation, attempt(AttemptOutcome.TIMEOUT)),
                NON_IDEMPOTENT,
                STORED_AT_MICROS + 2 * SECOND_MICROS,
                STORED_AT_MICROS - DAY_MICROS));
        assertNeedsConfirmation(
                POLICY.decide(
                        deadLetter(
                                confirmation,
                                attempt(AttemptOutcome.TIMEOUT),
                                attempt(STORED_AT_MICROS + 3 * SECOND_MICROS, AttemptOutcome.RESET, "b0")),
                        NON_IDEMPOTENT,
                        STORED_AT_MICROS + 9 * SECOND_MICROS,
                        STORED_AT_MICROS - DAY_MICROS),
                "may have run");
        assertSentNow(POLICY.decide(
                deadLetter(
                        confirmation,
                        attempt(AttemptOutcome.TIMEOUT),
                        attempt(STORED_AT_MICROS + 3 * SECOND_MICROS, AttemptOutcome.REJECTED, "b0")),
                NON_IDEMPOTENT,
                STORED_AT_MICROS + 9 * SECOND_MICROS,
                STORED_AT_MICROS - DAY_MICROS));
    }

    @Test
    void proofOfExecutionSettlesAConfirmedDeadLetter() {
        DeadLetter.Confirmation confirmation =
                new DeadLetter.Confirmation("clerk", "not in their records", 1, STORED_AT_MICROS + SECOND_MICROS);
        assertInstanceOf(
                RedrivePolicy.Settled.class,
                POLICY.decide(
                        deadLetter(confirmation, attempt(AttemptOutcome.OK)),
                        NON_IDEMPOTENT,
                        STORED_AT_MICROS + 2 * SECOND_MICROS,
                        STORED_AT_MICROS - DAY_MICROS));
    }

    @Test
    void keyWindowIsMeasuredFromFirstPossibleExecutionAndShortenedByClockMargin() {
        DeadLetter deadLetter = deadLetter(
                null,
                attempt(STORED_AT_MICROS - 20 * SECOND_MICROS, AttemptOutcome.TIMEOUT, "b0"),
                attempt(STORED_AT_MICROS, AttemptOutcome.RESET, "b0"));
        RedrivePolicy.SendNow sendNow = assertInstanceOf(
                RedrivePolicy.SendNow.class,
                POLICY.decide(deadLetter, KEYED, STORED_AT_MICROS + 8 * SECOND_MICROS, STORED_AT_MICROS - DAY_MICROS));
        assertEquals(
                STORED_AT_MICROS - 20 * SECOND_MICROS + 30 * SECOND_MICROS - SECOND_MICROS,
                sendNow.deadlineMicros(),
                "deadline equals the end of the key window");
        assertEquals(
                List.of(new PastAttempt("r-b0", STORED_AT_MICROS - 20 * SECOND_MICROS, AttemptOutcome.TIMEOUT)),
                sendNow.pastAttempts());
        assertNeedsConfirmation(
                POLICY.decide(deadLetter, KEYED, STORED_AT_MICROS + 9 * SECOND_MICROS, STORED_AT_MICROS - DAY_MICROS),
                "key window is over");
    }

    @Test
    void keyWindowDoesNotApplyIfNoAttemptWasExecuted() {
        assertSentNow(POLICY.decide(
                deadLetter(null, attempt(AttemptOutcome.REJECTED)),
                KEYED,
                STORED_AT_MICROS + DAY_MICROS / 2,
                STORED_AT_MICROS - DAY_MICROS));
    }

    @Test
    void possibleExecutionInSeveralZonesNeedsConfirmation() {
        DeadLetter deadLetter = deadLetter(
                null,
                attempt(STORED_AT_MICROS - SECOND_MICROS, AttemptOutcome.TIMEOUT, "b0"),
                attempt(STORED_AT_MICROS, AttemptOutcome.TIMEOUT, "b1"));
        assertNeedsConfirmation(
                POLICY.decide(deadLetter, KEYED, STORED_AT_MICROS + SECOND_MICROS, STORED_AT_MICROS - DAY_MICROS),
                "several places");
        assertSentNow(POLICY.decide(
                deadLetter,
                redriveClass(Idempotency.IDEMPOTENT_BY_KEY, KeyScope.ALL),
                STORED_AT_MICROS + SECOND_MICROS,
                STORED_AT_MICROS - DAY_MICROS));
        assertNeedsConfirmation(
                POLICY.decide(
                        deadLetter(null, attempt(STORED_AT_MICROS, AttemptOutcome.TIMEOUT, "")),
                        KEYED,
                        STORED_AT_MICROS + SECOND_MICROS,
                        STORED_AT_MICROS - DAY_MICROS),
                "several places");
    }

    @Test
    void keyWindowIsNotMeasuredAcrossRestartsOrClockSetBack() {
        DeadLetter deadLetter = deadLetter(null, attempt(STORED_AT_MICROS, AttemptOutcome.TIMEOUT, "b0"));
        assertNeedsConfirmation(
                POLICY.decide(
                        deadLetter, KEYED, STORED_AT_MICROS + 2 * SECOND_MICROS, STORED_AT_MICROS + SECOND_MICROS),
                "restart");
        assertNeedsConfirmation(
                POLICY.decide(deadLetter, KEYED, STORED_AT_MICROS - 5 * SECOND_MICROS, STORED_AT_MICROS - DAY_MICROS),
                "clock");
        assertNeedsConfirmation(
                POLICY.decide(deadLetter, KEYED, STORED_AT_MICROS + DAY_MICROS, STORED_AT_MICROS - DAY_MICROS), "over");
    }

    @Test
    void redriveWindowEndsRedrivesWithoutConfirmation() {
        assertSentNow(POLICY.decide(
                deadLetter(null, attempt(AttemptOutcome.TIMEOUT)),
                IDEMPOTENT,
                STORED_AT_MICROS + DAY_MICROS - 1,
                STORED_AT_MICROS - DAY_MICROS));
        assertNeedsConfirmation(
                POLICY.decide(
                        deadLetter(null, attempt(AttemptOutcome.TIMEOUT)),
                        IDEMPOTENT,
                        STORED_AT_MICROS + DAY_MICROS + 1,
                        STORED_AT_MICROS - DAY_MICROS),
                "shelf life");
        assertNeedsConfirmation(
                POLICY.decide(
                        deadLetter(null, attempt(AttemptOutcome.REJECTED)),
                        NON_IDEMPOTENT,
                        STORED_AT_MICROS + DAY_MICROS + 1,
                        STORED_AT_MICROS - DAY_MICROS),
                "shelf life");
        assertSentNow(POLICY.decide(
                deadLetter(
                        new DeadLetter.Confirmation("clerk", "still wanted", 1, STORED_AT_MICROS),
                        attempt(AttemptOutcome.REJECTED)),
                NON_IDEMPOTENT,
                STORED_AT_MICROS + 2 * DAY_MICROS,
                STORED_AT_MICROS - DAY_MICROS));
    }

    @Test
    void pauseDoublesWithEachRedriveUpToALimit() {
        DeadLetter notRedriven = deadLetter(null);
        assertEquals(STORED_AT_MICROS + SECOND_MICROS, POLICY.nextAttemptMicros(notRedriven, STORED_AT_MICROS));
        DeadLetter redrivenOften = new DeadLetter(
                1,
                notRedriven.content(),
                STORED_AT_MICROS,
                "",
                "",
                DeadLetter.State.STORED,
                STORED_AT_MICROS,
                null,
                40,
                List.of());
        assertEquals(STORED_AT_MICROS + 64 * SECOND_MICROS, POLICY.nextAttemptMicros(redrivenOften, STORED_AT_MICROS));
    }

    @Test
    void unknownClassNeedsConfirmation() {
        assertNeedsConfirmation(
                POLICY.decide(deadLetter(null), null, STORED_AT_MICROS, STORED_AT_MICROS - DAY_MICROS),
                "not known any more");
    }
}
