package loftflow.experiment.evaluation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** Checks the delivery rules (BRIEF) against the history of a run, without using anything that a relay reports. */
public final class RuleChecker {
    /** A rule by what violates it. The constants are values of a command line option, and printed in reports. */
    public enum Rule {
        /** No completion was reported for a message that was submitted or accepted. */
        MISSING("missing"),
        /** A completion was reported later than the deadline and its slack. */
        LATE("late"),
        /** A message that must not be executed more than once took effect twice. */
        TWICE("twice"),
        /** A non-idempotent message was sent again without proof that it had not been executed. */
        UNPROVEN("unproven"),
        /** A call was sent to a draining endpoint after the grace period that follows the drain notice. */
        DRAINED("drained"),
        /** A recovering endpoint collapsed under calls from relays that had observed its outage. */
        OVERRUN("overrun"),
        /** A call was sent before a received {@code Retry-After} had passed. */
        WAIT("wait");

        private final String code;

        Rule(String code) {
            this.code = code;
        }

        /** The name in the names of regression case files. */
        public String code() {
            return code;
        }

        /** The rule with a name in the names of regression case files; empty where there is none. */
        public static Optional<Rule> ofCode(String code) {
            return Stream.of(values()).filter(rule -> rule.code.equals(code)).findFirst();
        }
    }

    /** A relay and the scope of a drain notice or {@code Retry-After}. */
    private record RelayScope(int relay, int scope) {}

    /** A collapse counts as a violation from this share of calls of relays that had observed the outage. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private static final int MAX_REPORTED_BREACHES = 20;
    private static final int NO_MESSAGE = -1;

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final RuleLimits limits;
    private final RunHistory history;
    private final Map<Integer, List<RunHistory.RelayDowntime>> downtimesByRelay = new HashMap<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<RuleBreach> firstBreaches = new ArrayList<>();

    private RuleChecker(Scenario scenario, RuleLimits limits, RunHistory history) {
        this.scenario = scenario;
        this.limits = limits;
        this.history = history;
        layout = scenario.layout();
        for (RunHistory.RelayDowntime downtime : history.downtimes()) {
            downtimesByRelay
                    .computeIfAbsent(downtime.relay(), relay -> new ArrayList<>())
                    .add(downtime);
        }
    }

    /** Checks a run that is over. */
    public static RuleReport check(Scenario scenario, RuleLimits limits, RunHistory history) {
        RuleChecker checker = new RuleChecker(scenario, limits, history);
        for (int i = 0; i < history.messages().size(); i++) {
            checker.checkCompletion(i, history.messages().get(i));
            checker.checkEffects(i, history.messages().get(i));
        }
        checker.checkDrains();
        checker.checkRetryAfters();
        checker.checkCollapses();
        return new RuleReport(checker.counts, checker.firstBreaches);
    }

    private void addBreach(Rule rule, int message, long atMicros, String detail) {
        counts.merge(rule, 1, Integer::sum);
        if (firstBreaches.size() < MAX_REPORTED_BREACHES) {
            firstBreaches.add(new RuleBreach(rule, message, atMicros, detail));
        }
    }

    private void checkCompletion(int number, MessageHistory message) {
        MessageHistory.ClientOutcome outcome = message.clientOutcome();
        boolean deliveredInTime =
                message.deliveredAtMicros() >= 0 && message.deliveredAtMicros() <= message.deadlineMicros();
        boolean isOpen = outcome == MessageHistory.ClientOutcome.ACCEPTED && !deliveredInTime;
        if (outcome == MessageHistory.ClientOutcome.PENDING || isOpen) {
            addBreach(Rule.MISSING, number, message.deadlineMicros(), "told " + outcome.code());
        }
        if (message.completedAtMicros() > latestCompletionMicros(message)) {
            addBreach(Rule.LATE, number, message.completedAtMicros(), "due at " + message.deadlineMicros());
        }
    }

    /** A relay that is down at the deadline reports the completion when it has restarted. */
    private long latestCompletionMicros(MessageHistory message) {
        long deadlineMicros = message.deadlineMicros();
        return downtimesByRelay.getOrDefault(message.relay(), List.of()).stream()
                        .filter(downtime -> downtime.fromMicros() <= deadlineMicros + limits.completionSlackMicros()
                                && downtime.untilMicros() > deadlineMicros)
                        .mapToLong(RunHistory.RelayDowntime::untilMicros)
                        .reduce(deadlineMicros, Math::max)
                + limits.completionSlackMicros();
    }

    private void checkEffects(int number, MessageHistory message) {
        Idempotency idempotency = scenario.classes().get(message.classIndex()).idempotency();
        if (idempotency == Idempotency.IDEMPOTENT) {
            return;
        }
        long effects =
                message.calls().stream().filter(MessageHistory.Call::executed).count();
        if (effects > 1) {
            addBreach(Rule.TWICE, number, message.submittedAtMicros(), effects + " effects");
        }
        if (idempotency == Idempotency.NON_IDEMPOTENT) {
            checkRepeats(number, message);
        }
    }

    private void checkRepeats(int number, MessageHistory message) {
        for (MessageHistory.Call first : message.calls()) {
            for (MessageHistory.Call second : message.calls()) {
                if (second != first && isUnprovenRepeat(first, second)) {
                    addBreach(
                            Rule.UNPROVEN,
                            number,
                            second.sentAtMicros(),
                            "after a call with the answer " + first.response().code());
                }
            }
        }
    }

    private static boolean isUnprovenRepeat(MessageHistory.Call first, MessageHistory.Call second) {
        boolean provenNotExecuted = first.response() == MessageHistory.Response.REJECTED
                || first.response() == MessageHistory.Response.CONNECT_FAILED;
        boolean sentAfterProof = provenNotExecuted && second.sentAtMicros() > first.arrivedAtMicros();
        boolean isLater = second.sentAtMicros() > first.sentAtMicros()
                || second.sentAtMicros() == first.sentAtMicros() && second.arrivedAtMicros() > first.arrivedAtMicros();
        return isLater && !sentAfterProof;
    }

    private void checkDrains() {
        Map<RelayScope, Long> forbiddenFromMicros = new HashMap<>();
        for (RunHistory.DrainNotice notice : history.drainNotices()) {
            forbiddenFromMicros.merge(
                    new RelayScope(notice.relay(), notice.endpoint()),
                    notice.receivedAtMicros() + limits.drainGraceMicros(),
                    Math::min);
        }
        if (!forbiddenFromMicros.isEmpty()) {
            checkCalls(
                    Rule.DRAINED,
                    call -> call.sentAtMicros()
                            > forbiddenFromMicros.getOrDefault(
                                    new RelayScope(call.relay(), call.endpoint()), Long.MAX_VALUE));
        }
    }

    private void checkRetryAfters() {
        Map<RelayScope, List<RunHistory.RetryAfter>> retryAfters = new HashMap<>();
        for (RunHistory.RetryAfter retryAfter : history.retryAfters()) {
            retryAfters
                    .computeIfAbsent(
                            new RelayScope(retryAfter.relay(), retryAfterScope(retryAfter.endpoint())),
                            scope -> new ArrayList<>())
                    .add(retryAfter);
        }
        if (!retryAfters.isEmpty()) {
            checkCalls(Rule.WAIT, call -> {
                RelayScope scope = new RelayScope(call.relay(), retryAfterScope(call.endpoint()));
                return retryAfters.getOrDefault(scope, List.of()).stream()
                        .anyMatch(retryAfter -> call.sentAtMicros() > retryAfter.receivedAtMicros()
                                && call.sentAtMicros() < retryAfter.untilMicros());
            });
        }
    }

    /** A {@code Retry-After} binds for the whole partner, or for one endpoint where routes are independent. */
    private int retryAfterScope(int endpoint) {
        int partner = layout.endpoints().get(endpoint).partner();
        boolean independent = layout.partners().get(partner).group().independentRoutes();
        return independent ? endpoint : -1 - partner;
    }

    private void checkCalls(Rule rule, Predicate<MessageHistory.Call> isForbidden) {
        for (int i = 0; i < history.messages().size(); i++) {
            for (MessageHistory.Call call : history.messages().get(i).calls()) {
                if (isForbidden.test(call)) {
                    addBreach(rule, i, call.sentAtMicros(), "relay " + call.relay() + " to e" + call.endpoint());
                }
            }
        }
    }

    private void checkCollapses() {
        for (RunHistory.EndpointCollapse collapse : history.collapses()) {
            if (collapse.informedShare() >= MIN_INFORMED_SHARE) {
                addBreach(
                        Rule.OVERRUN,
                        NO_MESSAGE,
                        collapse.atMicros(),
                        "e" + collapse.endpoint() + " got " + collapse.callsInWindow() + " calls while it could do "
                                + Math.round(collapse.capacityPerSecond()) + " a second");
            }
        }
    }
}
