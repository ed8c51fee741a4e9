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

/** Checks a run's history by the rules of the protocol; each finding is a line that begins with the rule's name. */
final class SoakChecks {
    /** A completion is due so long after the deadline; rules on sockets have 50 ms more (PROTOCOL). */
    private static final long COMPLETION_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(300 + 50);
    /** No completion is overdue until so long after a restarted relay is ready. */
    private static final long RESTART_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500 + 50);

    private static final long DRAIN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500 + 50);
    /** Calls that arrive within this time of a wait may have been under way. */
    private static final long WAIT_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100 + 50);

    private final SoakHistory history;
    private final List<String> findings = new ArrayList<>();
    private final Map<String, List<SoakHistory.Receipt>> receiptsById;
    private final Map<String, List<SoakHistory.End>> endsById;

    SoakChecks(SoakHistory history) {
        this.history = history;
        receiptsById = history.receipts.stream().collect(Collectors.groupingBy(SoakHistory.Receipt::id));
        endsById = history.ends.stream().collect(Collectors.groupingBy(SoakHistory.End::id));
    }

    /** All findings of a run that is over. */
    static List<String> check(SoakHistory history) {
        SoakChecks checks = new SoakChecks(history);
        checks.checkAnswers();
        checks.checkEnds();
        checks.checkRepetitions();
        checks.checkOrder();
        checks.checkWithdrawnEndpoints();
        checks.checkWaits();
        checks.checkProcesses();
        return checks.findings;
    }

    private void find(String rule, String detail) {
        findings.add(rule + ": " + detail);
    }

    List<SoakHistory.Receipt> receiptsOf(String id) {
        return receiptsById.getOrDefault(id, List.of());
    }

    private List<SoakHistory.End> endsOf(String id) {
        return endsById.getOrDefault(id, List.of());
    }

    private void checkAnswers() {
        for (SoakHistory.Submission submission : history.submissions) {
            if (submission.answer() == SoakHistory.Answer.CUT_OFF) {
                find("unanswered", submission + sinceSignal(submission.answeredAtNanos()));
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

    private void checkEnds() {
        for (SoakHistory.Submission submission : history.submissions) {
            List<String> results = endsOf(submission.id()).stream()
                    .map(SoakHistory.End::result)
                    .distinct()
                    .toList();
            if (results.size() > 1) {
                find("two ends", submission.id() + " " + results);
            }
            if (submission.answer() == SoakHistory.Answer.ACCEPTED) {
                checkEndInTime(submission);
            }
            boolean isRejected = results.contains(CompletionProtocol.RESULT_REJECTED)
                    || submission.answer() == SoakHistory.Answer.REFUSED;
            boolean ran = receiptsOf(submission.id()).stream().anyMatch(SoakHistory.Receipt::ran);
            if (isRejected && ran && submission.type().runsOnce()) {
                find("ran though rejected", submission + " " + receiptsOf(submission.id()));
            }
        }
    }

    private void checkEndInTime(SoakHistory.Submission submission) {
        long endedAt = Math.min(deliveredAtNanos(submission), reportedAtNanos(submission));
        long dueAt = afterRestarts(submission.deadlineNanos() + COMPLETION_GRACE_NANOS);
        if (isLost(submission)) {
            find("lost", submission + " " + receiptsOf(submission.id()));
        } else if (endedAt > dueAt + history.stalls.waitedNanos(submission.deadlineNanos(), endedAt)) {
            find("late", submission.id() + " by " + TimeUnit.NANOSECONDS.toMillis(endedAt - dueAt) + " ms");
        }
    }

    private long deliveredAtNanos(SoakHistory.Submission submission) {
        return receiptsOf(submission.id()).stream()
                .mapToLong(SoakHistory.Receipt::deliveredAtNanos)
                .min()
                .orElse(SoakHistory.NEVER);
    }

    private long reportedAtNanos(SoakHistory.Submission submission) {
        return endsOf(submission.id()).stream()
                .mapToLong(SoakHistory.End::atNanos)
                .min()
                .orElse(SoakHistory.NEVER);
    }

    /** Returns true where a message was accepted and has neither been delivered nor ended by a completion. */
    boolean isLost(SoakHistory.Submission submission) {
        return submission.answer() == SoakHistory.Answer.ACCEPTED
                && deliveredAtNanos(submission) == SoakHistory.NEVER
                && reportedAtNanos(submission) == SoakHistory.NEVER;
    }

    /**
     * Returns true where the client got no answer in its time though no restart was under way. The message is the
     * client's own then: by the protocol nothing is owed for it, and nothing that is sent for it counts.
     */
    boolean isUnheardInService(SoakHistory.Submission submission) {
        return submission.answer() == SoakHistory.Answer.NONE
                && history.restarts.stream()
                        .noneMatch(restart -> submission.answeredAtNanos() >= restart.signalNanos()
                                && submission.sentAtNanos() <= restart.readyNanos());
    }

    /** Returns true where a message has been delivered and no completion was reported for it. */
    boolean isDeliveredSilently(SoakHistory.Submission submission) {
        return deliveredAtNanos(submission) != SoakHistory.NEVER && reportedAtNanos(submission) == SoakHistory.NEVER;
    }

    /** When a completion is due that is due at a time, if the relay is restarted then. */
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
                    .filter(SoakHistory.Receipt::ran)
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
        if (submission.type().runsOnce() || isKeyForgotten) {
            find("ran twice", submission + " " + runs);
        }
    }

    /** Messages of one key reach upstreams in the order in which they were accepted. */
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
                        find("out of order", submission + " " + receipt);
                    }
                }
                newest = Math.max(newest, lastReceipt.getOrDefault(submission.id(), Long.MIN_VALUE));
            }
        });
    }

    private void checkWithdrawnEndpoints() {
        for (SoakHistory.Withdrawal withdrawal : history.withdrawals) {
            long graceEnd = withdrawal.toldAtNanos() + DRAIN_GRACE_NANOS;
            history.receipts.stream()
                    .filter(receipt -> receipt.endpoint().equals(withdrawal.endpoint())
                            && receipt.firstByteNanos()
                                    > graceEnd
                                            + history.stalls.waitedNanos(
                                                    withdrawal.toldAtNanos(), receipt.firstByteNanos()))
                    .forEach(receipt -> find(
                            "sent to a withdrawn endpoint",
                            receipt + " "
                                    + TimeUnit.NANOSECONDS.toMillis(receipt.firstByteNanos() - withdrawal.toldAtNanos())
                                    + " ms after it was told"));
        }
    }

    private void checkWaits() {
        for (SoakHistory.ToldWait wait : history.waits) {
            boolean spansRestart = history.restarts.stream()
                    .anyMatch(restart ->
                            restart.readyNanos() > wait.fromNanos() && restart.signalNanos() < wait.untilNanos());
            if (spansRestart) {
                continue;
            }
            history.receipts.stream()
                    .filter(receipt -> receipt.endpoint().equals(wait.endpoint())
                            && receipt.firstByteNanos() < wait.untilNanos()
                            && receipt.firstByteNanos()
                                    > wait.fromNanos()
                                            + WAIT_GRACE_NANOS
                                            + history.stalls.waitedNanos(wait.fromNanos(), receipt.firstByteNanos()))
                    .forEach(receipt -> find("wait broken", receipt + " " + wait));
        }
    }

    private void checkProcesses() {
        history.incidents.forEach(incident -> find("process", incident));
    }
}
