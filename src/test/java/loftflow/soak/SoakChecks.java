package loftflow.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import loftflow.protocol.CompletionProtocol;

/** Checks the history of a run against the rules of the protocol; each finding begins with the name of its rule. */
final class SoakChecks {
    /** A completion is due 300 ms after the deadline; times observed on sockets have a tolerance of 50 ms (PROTOCOL). */
    private static final long COMPLETION_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(300 + 50);
    /** No completion is overdue until 1.5 s after a restarted relay is ready. */
    private static final long RESTART_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500 + 50);

    /** Requests may reach a withdrawn endpoint until 500 ms after its withdrawal is announced. */
    private static final long DRAIN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500 + 50);
    /** Requests that arrive within 100 ms of a Retry-After may have been in transit when it was sent. */
    private static final long RETRY_AFTER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100 + 50);

    /** A relay may need so long to read the report of an end, and requests in transit so long to arrive. */
    private static final long END_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100 + 50);
    /** A relay may have given up a call whose response takes longer, so that it learns nothing from it. */
    private static final long MAX_AWAITED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final SoakHistory history;
    private final List<String> findings = new ArrayList<>();
    private final Map<String, List<SoakHistory.Receipt>> receiptsById;
    private final Map<String, List<SoakHistory.Completion>> completionsById;

    SoakChecks(SoakHistory history) {
        this.history = history;
        receiptsById = history.receipts.stream().collect(Collectors.groupingBy(SoakHistory.Receipt::id));
        completionsById = history.completions.stream().collect(Collectors.groupingBy(SoakHistory.Completion::id));
    }

    /** Returns all findings of a finished run. */
    static List<String> check(SoakHistory history) {
        SoakChecks checks = new SoakChecks(history);
        checks.checkAnswers();
        checks.checkCompletions();
        checks.checkRepetitions();
        checks.checkSendsAfterTheEnd();
        checks.checkOrder();
        checks.checkWithdrawnEndpoints();
        checks.checkRetryAfters();
        checks.checkProcesses();
        return checks.findings;
    }

    private void addFinding(String rule, String detail) {
        findings.add(rule + ": " + detail);
    }

    List<SoakHistory.Receipt> receiptsOf(String id) {
        return receiptsById.getOrDefault(id, List.of());
    }

    private List<SoakHistory.Completion> completionsOf(String id) {
        return completionsById.getOrDefault(id, List.of());
    }

    private void checkAnswers() {
        for (SoakHistory.Submission submission : history.submissions) {
            if (submission.answer() == SoakHistory.Answer.CUT_OFF) {
                addFinding("unanswered", submission + sinceSignal(submission.answeredAtNanos()));
            }
        }
    }

    private String sinceSignal(long nanos) {
        return history.restarts.stream()
                .filter(restart -> nanos >= restart.signalNanos() && nanos <= restart.readyNanos())
                .findFirst()
                .map(restart ->
                        ", " + TimeUnit.NANOSECONDS.toMillis(nanos - restart.signalNanos()) + " ms after the signal")
                .orElse(", in service");
    }

    private void checkCompletions() {
        for (SoakHistory.Submission submission : history.submissions) {
            List<String> results = completionsOf(submission.id()).stream()
                    .map(SoakHistory.Completion::result)
                    .distinct()
                    .toList();
            if (results.size() > 1) {
                addFinding("two completions", submission.id() + " " + results);
            }
            if (submission.answer() == SoakHistory.Answer.ACCEPTED) {
                checkCompletionTime(submission);
            }
            boolean isRejected = results.contains(CompletionProtocol.RESULT_REJECTED)
                    || submission.answer() == SoakHistory.Answer.REFUSED;
            boolean mayHaveExecuted =
                    receiptsOf(submission.id()).stream().anyMatch(SoakHistory.Receipt::mayHaveExecuted);
            if (isRejected && mayHaveExecuted && submission.type().mustNotRunTwice()) {
                addFinding("executed though rejected", submission + " " + receiptsOf(submission.id()));
            }
        }
    }

    private void checkCompletionTime(SoakHistory.Submission submission) {
        long completedAt = Math.min(deliveredAtNanos(submission), reportedAtNanos(submission));
        long dueAt = afterRestarts(submission.deadlineNanos() + COMPLETION_GRACE_NANOS);
        if (isLost(submission)) {
            addFinding("lost", submission + " " + receiptsOf(submission.id()));
        } else if (completedAt > dueAt + history.stalls.waitedNanos(submission.deadlineNanos(), completedAt)) {
            addFinding("late", submission.id() + " by " + TimeUnit.NANOSECONDS.toMillis(completedAt - dueAt) + " ms");
        }
    }

    private long deliveredAtNanos(SoakHistory.Submission submission) {
        return receiptsOf(submission.id()).stream()
                .mapToLong(SoakHistory.Receipt::deliveredAtNanos)
                .min()
                .orElse(SoakHistory.NEVER);
    }

    private long reportedAtNanos(SoakHistory.Submission submission) {
        return completionsOf(submission.id()).stream()
                .mapToLong(SoakHistory.Completion::atNanos)
                .min()
                .orElse(SoakHistory.NEVER);
    }

    /** Returns whether a message was accepted and has neither been delivered nor completed. */
    boolean isLost(SoakHistory.Submission submission) {
        return submission.answer() == SoakHistory.Answer.ACCEPTED
                && deliveredAtNanos(submission) == SoakHistory.NEVER
                && reportedAtNanos(submission) == SoakHistory.NEVER;
    }

    /**
     * Returns whether the client's wait for an answer timed out although no restart was in progress. The relay is not
     * responsible for such a message: it owes no completion, and attempts that it makes all the same are no fault.
     */
    boolean isTimedOutInService(SoakHistory.Submission submission) {
        return submission.answer() == SoakHistory.Answer.NONE
                && history.restarts.stream()
                        .noneMatch(restart -> submission.answeredAtNanos() >= restart.signalNanos()
                                && submission.sentAtNanos() <= restart.readyNanos());
    }

    /** Returns whether a message was delivered and no completion was reported for it. */
    boolean isDeliveredWithoutCompletion(SoakHistory.Submission submission) {
        return deliveredAtNanos(submission) != SoakHistory.NEVER && reportedAtNanos(submission) == SoakHistory.NEVER;
    }

    /** Returns the time at which a completion is due, postponed if a restart spans that time. */
    private long afterRestarts(long dueNanos) {
        long due = dueNanos;
        for (SoakHistory.Restart restart : history.restarts) {
            long graceEnd = restart.readyNanos() + RESTART_GRACE_NANOS;
            due = due >= restart.signalNanos() && due < graceEnd ? graceEnd : due;
        }
        return due;
    }

    private void checkRepetitions() {
        Map<String, SoakHistory.Submission> submissionsById = history.submissions.stream()
                .collect(Collectors.toMap(SoakHistory.Submission::id, Function.identity(), (a, b) -> a));
        receiptsById.forEach((id, receipts) -> {
            SoakHistory.Submission submission = submissionsById.get(id);
            List<SoakHistory.Receipt> runs = receipts.stream()
                    .filter(SoakHistory.Receipt::mayHaveExecuted)
                    .sorted(Comparator.comparingLong(SoakHistory.Receipt::firstByteNanos))
                    .toList();
            if (submission != null && runs.size() > 1) {
                checkRuns(submission, runs);
            }
        });
    }

    private void checkRuns(SoakHistory.Submission submission, List<SoakHistory.Receipt> runs) {
        long apart = runs.get(runs.size() - 1).firstByteNanos() - runs.get(0).firstByteNanos();
        boolean isKeyForgotten = submission.type() == MessageClass.KEYED
                && apart > TimeUnit.MILLISECONDS.toNanos(submission.type().keyWindowMillis());
        if (submission.type().mustNotRunTwice() || isKeyForgotten) {
            addFinding("executed twice", submission + " " + runs);
        }
    }

    /** Checks that no message is sent after its delivery was reported to the relay or its completion by the relay. */
    private void checkSendsAfterTheEnd() {
        for (SoakHistory.Submission submission : history.submissions) {
            if (isTimedOutInService(submission)) {
                continue;
            }
            List<SoakHistory.Receipt> receipts = receiptsOf(submission.id());
            long deliveredAt = receipts.stream()
                    .filter(SoakChecks::isAwaited)
                    .filter(receipt -> !endedUnread(receipt))
                    .mapToLong(SoakHistory.Receipt::deliveredAtNanos)
                    .min()
                    .orElse(SoakHistory.NEVER);
            long completedAt = completionsOf(submission.id()).stream()
                    .mapToLong(SoakHistory.Completion::atNanos)
                    .min()
                    .orElse(SoakHistory.NEVER);
            long endedAt = Math.min(deliveredAt, completedAt);
            receipts.stream()
                    .filter(receipt -> isAfterEnd(receipt, endedAt))
                    .forEach(receipt -> addFinding(
                            "sent after its end",
                            receipt + " "
                                    + TimeUnit.NANOSECONDS.toMillis(receipt.firstByteNanos() - endedAt)
                                    + " ms after it, all " + receipts));
        }
    }

    private static boolean isAwaited(SoakHistory.Receipt receipt) {
        return receipt.deliveredAtNanos() != SoakHistory.NEVER
                && receipt.deliveredAtNanos() - receipt.firstByteNanos() < MAX_AWAITED_NANOS;
    }

    /**
     * Returns whether the process that sent a call ended before the report, or so soon after that it may not have read
     * it, or had no disk that took the record.
     */
    private boolean endedUnread(SoakHistory.Receipt receipt) {
        long reportedAtNanos = receipt.deliveredAtNanos();
        return history.restarts.stream()
                .anyMatch(restart -> restart.endedNanos() >= receipt.firstByteNanos()
                        && restart.endedNanos() - reportedAtNanos
                                < END_GRACE_NANOS
                                        + history.unrecordedNanos
                                        + history.stalls.waitedNanos(reportedAtNanos, restart.endedNanos()));
    }

    private boolean isAfterEnd(SoakHistory.Receipt receipt, long endedAtNanos) {
        return endedAtNanos != SoakHistory.NEVER
                && receipt.firstByteNanos() > endedAtNanos
                && receipt.firstByteNanos() - endedAtNanos
                        > END_GRACE_NANOS + history.stalls.waitedNanos(endedAtNanos, receipt.firstByteNanos());
    }

    /** Checks that messages with the same ordering key reach upstreams in the order in which they were accepted. */
    private void checkOrder() {
        Map<String, List<SoakHistory.Submission>> byKey = history.submissions.stream()
                .filter(submission -> submission.orderingKey() != null)
                .sorted(Comparator.comparingLong(SoakHistory.Submission::sequence))
                .collect(Collectors.groupingBy(SoakHistory.Submission::orderingKey));
        byKey.values().forEach(submissions -> {
            Map<String, Long> lastReceipt = new HashMap<>();
            long newest = Long.MIN_VALUE;
            for (SoakHistory.Submission submission : submissions) {
                for (SoakHistory.Receipt receipt : receiptsOf(submission.id())) {
                    lastReceipt.merge(submission.id(), receipt.firstByteNanos(), Math::max);
                    if (receipt.firstByteNanos() < newest) {
                        addFinding("out of order", submission + " " + receipt);
                    }
                }
                newest = Math.max(newest, lastReceipt.getOrDefault(submission.id(), Long.MIN_VALUE));
            }
        });
    }

    private void checkWithdrawnEndpoints() {
        for (SoakHistory.Withdrawal withdrawal : history.withdrawals) {
            long graceEnd = withdrawal.announcedAtNanos() + DRAIN_GRACE_NANOS;
            history.receipts.stream()
                    .filter(receipt -> receipt.endpoint().equals(withdrawal.endpoint())
                            && receipt.firstByteNanos()
                                    > graceEnd
                                            + history.stalls.waitedNanos(
                                                    withdrawal.announcedAtNanos(), receipt.firstByteNanos()))
                    .forEach(receipt -> addFinding(
                            "sent to a withdrawn endpoint",
                            receipt + " "
                                    + TimeUnit.NANOSECONDS.toMillis(
                                            receipt.firstByteNanos() - withdrawal.announcedAtNanos())
                                    + " ms after the withdrawal was announced"));
        }
    }

    private void checkRetryAfters() {
        for (SoakHistory.RetryAfter retryAfter : history.retryAfters) {
            boolean spansRestart = history.restarts.stream()
                    .anyMatch(restart -> restart.readyNanos() > retryAfter.fromNanos()
                            && restart.signalNanos() < retryAfter.untilNanos());
            if (spansRestart) {
                continue;
            }
            history.receipts.stream()
                    .filter(receipt -> receipt.endpoint().equals(retryAfter.endpoint())
                            && receipt.firstByteNanos() < retryAfter.untilNanos()
                            && receipt.firstByteNanos()
                                    > retryAfter.fromNanos()
                                            + RETRY_AFTER_GRACE_NANOS
                                            + history.stalls.waitedNanos(
                                                    retryAfter.fromNanos(), receipt.firstByteNanos()))
                    .forEach(receipt -> addFinding("Retry-After ignored", receipt + " " + retryAfter));
        }
    }

    private void checkProcesses() {
        history.incidents.forEach(incident -> addFinding("process", incident));
    }
}
