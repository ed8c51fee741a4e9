package loftflow.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that each check finds its fault in a history, and that a correct history has no findings. */
class SoakChecksTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private record Fault(String rule, Consumer<SoakHistory> set) {
        @Override
        public String toString() {
            return rule;
        }
    }

    private static SoakHistory.Submission submission(String id, MessageClass type, SoakHistory.Answer answer) {
        long sequence = Long.parseLong(id.substring(1));
        long sentAt = sequence * SECOND;
        return new SoakHistory.Submission(
                id,
                type,
                "http",
                type == MessageClass.ORDERED ? "key" : null,
                sequence,
                sentAt,
                sentAt + TimeUnit.MILLISECONDS.toNanos(type.deadlineMillis()),
                sentAt + 1,
                answer);
    }

    private static SoakHistory.Receipt receipt(String id, String endpoint, double atSeconds, boolean delivered) {
        long at = (long) (atSeconds * SECOND);
        return new SoakHistory.Receipt(id, endpoint, at, true, delivered ? at + 1 : SoakHistory.NEVER, "DELIVER");
    }

    /** Returns a history of messages of all outcomes, with a restart that postponed a completion, and no fault. */
    private static SoakHistory correctHistory() {
        SoakHistory history = new SoakHistory();
        history.submissions.add(submission("m1", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
        history.receipts.add(receipt("m1", "a", 1.1, false));
        history.receipts.add(receipt("m1", "a", 1.2, true));
        history.submissions.add(submission("m2", MessageClass.NON_IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
        history.completions.add(new SoakHistory.Completion("m2", "dead", 9 * SECOND));
        history.restarts.add(new SoakHistory.Restart(5 * SECOND, 6 * SECOND, 8 * SECOND, 143, false));
        history.submissions.add(submission("m3", MessageClass.NON_IDEMPOTENT, SoakHistory.Answer.REFUSED));
        for (int i = 20; i < 22; i++) {
            history.submissions.add(submission("m" + i, MessageClass.ORDERED, SoakHistory.Answer.ACCEPTED));
            history.receipts.add(receipt("m" + i, "a", i + 0.1, true));
        }
        history.withdrawals.add(new SoakHistory.Withdrawal("b", 40 * SECOND));
        history.receipts.add(receipt("other", "b", 40.4, true));
        history.retryAfters.add(new SoakHistory.RetryAfter("a", 50 * SECOND, 51 * SECOND));
        history.receipts.add(receipt("other", "a", 51.1, true));
        return history;
    }

    @Test
    void correctHistoryHasNoFindings() {
        assertEquals(List.of(), SoakChecks.check(correctHistory()));
    }

    private static Stream<Fault> faults() {
        return Stream.of(
                new Fault(
                        "unanswered",
                        history -> history.submissions.add(
                                submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.CUT_OFF))),
                new Fault(
                        "lost",
                        history -> history.submissions.add(
                                submission("m30", MessageClass.NON_IDEMPOTENT, SoakHistory.Answer.ACCEPTED))),
                new Fault("lost", history -> {
                    history.submissions.add(
                            submission("m30", MessageClass.NON_IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
                    history.receipts.add(receipt("m30", "a", 30.1, false));
                }),
                new Fault("sent after its end", history -> {
                    history.submissions.add(submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
                    history.receipts.add(receipt("m30", "a", 30.1, true));
                    history.receipts.add(receipt("m30", "b", 30.3, true));
                }),
                new Fault("sent after its end", history -> {
                    history.submissions.add(submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
                    history.receipts.add(receipt("m30", "a", 30.1, false));
                    history.completions.add(new SoakHistory.Completion("m30", "dead", 31 * SECOND));
                    history.receipts.add(receipt("m30", "b", 31.2, false));
                }),
                new Fault("late", history -> {
                    history.submissions.add(
                            submission("m30", MessageClass.NON_IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
                    history.completions.add(new SoakHistory.Completion("m30", "dead", (long) (34.4 * SECOND)));
                }),
                new Fault(
                        "two completions",
                        history -> history.completions.add(new SoakHistory.Completion("m2", "bounced", 9 * SECOND))),
                new Fault("executed though rejected", history -> history.receipts.add(receipt("m3", "a", 3.1, false))),
                new Fault("executed twice", history -> history.receipts.add(receipt("m20", "a", 20.2, false))),
                new Fault("executed twice", history -> {
                    history.submissions.add(submission("m30", MessageClass.KEYED, SoakHistory.Answer.ACCEPTED));
                    history.receipts.add(receipt("m30", "a", 30.1, false));
                    history.receipts.add(receipt("m30", "a", 35.2, true));
                }),
                new Fault("out of order", history -> history.receipts.add(receipt("m20", "a", 22.5, false))),
                new Fault(
                        "sent to a withdrawn endpoint",
                        history -> history.receipts.add(receipt("other", "b", 40.6, true))),
                new Fault("Retry-After ignored", history -> history.receipts.add(receipt("other", "a", 50.5, true))),
                new Fault("process", history -> history.incidents.add("exit code 1")));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void checkFindsItsFault(Fault fault) {
        SoakHistory history = correctHistory();
        fault.set().accept(history);
        List<String> findings = SoakChecks.check(history);
        assertTrue(
                findings.stream().anyMatch(finding -> finding.startsWith(fault.rule() + ":")),
                fault.rule() + " in " + findings);
    }

    @Test
    void messageWithoutAnswerTimedOutUnlessARestartIsInProgress() {
        SoakHistory history = correctHistory();
        SoakHistory.Submission inService = submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.NONE);
        SoakHistory.Submission duringRestart = submission("m7", MessageClass.IDEMPOTENT, SoakHistory.Answer.NONE);
        SoakHistory.Submission accepted = submission("m31", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED);
        SoakChecks checks = new SoakChecks(history);
        assertTrue(checks.isTimedOutInService(inService));
        assertFalse(checks.isTimedOutInService(duringRestart));
        assertFalse(checks.isTimedOutInService(accepted));
    }

    /** Guards against a finding for a response that the process which had sent the call did not live to read. */
    @Test
    void reportToAProcessThatHasEndedEndsNoMessage() {
        SoakHistory history = correctHistory();
        history.submissions.add(submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED));
        history.receipts.add(receipt("m30", "a", 30.1, true));
        history.receipts.add(receipt("m30", "b", 31.9, true));
        history.restarts.add(restartThatEndedAt(30.1));
        assertEquals(0, countSentAfterEnd(history));
        history.restarts.clear();
        history.restarts.add(restartThatEndedAt(30.5));
        assertEquals(1, countSentAfterEnd(history), "the process lived on for 0.4 s");
        history.unrecordedNanos = SECOND / 2;
        assertEquals(0, countSentAfterEnd(history), "its disk may have failed until the end");
        history.unrecordedNanos = 0;
        history.restarts.clear();
        history.restarts.add(restartThatEndedAt(30.05));
        assertEquals(1, countSentAfterEnd(history), "the call was sent by the next process");
    }

    private static long countSentAfterEnd(SoakHistory history) {
        return SoakChecks.check(history).stream()
                .filter(finding -> finding.startsWith("sent after its end"))
                .count();
    }

    private static SoakHistory.Restart restartThatEndedAt(double seconds) {
        long endedNanos = (long) (seconds * SECOND);
        return new SoakHistory.Restart(endedNanos, endedNanos, endedNanos + SECOND, 137, true);
    }

    @Test
    void deliveryWithoutCompletionIsRecognized() {
        SoakHistory history = correctHistory();
        SoakHistory.Submission submission = submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.NONE);
        assertFalse(new SoakChecks(history).isDeliveredWithoutCompletion(submission));
        history.receipts.add(receipt("m30", "a", 30.1, false));
        assertFalse(new SoakChecks(history).isDeliveredWithoutCompletion(submission));
        history.receipts.add(receipt("m30", "a", 30.2, true));
        assertTrue(new SoakChecks(history).isDeliveredWithoutCompletion(submission));
        history.completions.add(new SoakHistory.Completion("m30", "dead", 31 * SECOND));
        assertFalse(new SoakChecks(history).isDeliveredWithoutCompletion(submission));
    }

    @Test
    void acceptedMessageWithoutDeliveryAndCompletionIsLost() {
        SoakHistory history = correctHistory();
        SoakHistory.Submission submission = submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.ACCEPTED);
        history.receipts.add(receipt("m30", "a", 30.1, false));
        assertTrue(new SoakChecks(history).isLost(submission));
        assertFalse(
                new SoakChecks(history).isLost(submission("m30", MessageClass.IDEMPOTENT, SoakHistory.Answer.NONE)));
        history.completions.add(new SoakHistory.Completion("m30", "dead", 31 * SECOND));
        assertFalse(new SoakChecks(history).isLost(submission));
    }
}
