package loftflow.experiment.evaluation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/**
 * The rules (BRIEF), judged from what partners recorded and what clients were told, never from what a relay says of
 * itself.
 */
public final class RuleChecker {
    /** What a rule forbids. */
    public enum Rule {
        /** A message that was taken on, or handed in, was never answered. */
        MISSING,
        /** An end that was told later than the deadline and the slack. */
        LATE,
        /** A message that may take effect once took effect twice. */
        TWICE,
        /** A message that may take effect once was sent again with no proof that it had not run. */
        UNPROVEN,
        /** Something was sent to an endpoint after the grace from when the relay heard that it drains. */
        DRAINED,
        /** A returning endpoint fell, by relays that had seen it fail. */
        OVERRUN,
        /** Something was sent within a wait that the relay had been told. */
        WAIT
    }

    /** A breach, with enough to find it again. */
    public record Breach(Rule rule, int ask, long at, String what) {}

    /** One relay at what one wait or drain is for. */
    private record Pair(int relay, int there) {}

    private static final double KNOWING = 2.0 / 3;
    private static final int SHOWN = 20;

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final Scenario.Rules rules;
    private final RunHistory history;
    private final Map<Integer, List<RunHistory.Away>> aways = new HashMap<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Breach> breaches = new ArrayList<>();

    private RuleChecker(Scenario scenario, Scenario.Rules rules, RunHistory history) {
        this.scenario = scenario;
        this.rules = rules;
        this.history = history;
        layout = scenario.layout();
        history.aways().forEach(a -> aways.computeIfAbsent(a.relay(), r -> new ArrayList<>())
                .add(a));
    }

    /**
     * What was found.
     *
     * @param counts of each rule that was broken
     * @param first the first breaches
     */
    public record Found(Map<Rule, Integer> counts, List<Breach> first) {
        public boolean isClean() {
            return counts.isEmpty();
        }
    }

    /** Judges a run that is over. */
    public static Found of(Scenario scenario, Scenario.Rules rules, RunHistory history) {
        RuleChecker judge = new RuleChecker(scenario, rules, history);
        for (int i = 0; i < history.asks().size(); i++) {
            judge.answered(i, history.asks().get(i));
            judge.effects(i, history.asks().get(i));
        }
        judge.drains();
        judge.waits();
        history.falls().stream()
                .filter(f -> f.knowing() >= KNOWING)
                .forEach(f -> judge.found(
                        Rule.OVERRUN,
                        -1,
                        f.at(),
                        "e" + f.endpoint() + " got " + f.load() + " calls while it could do " + Math.round(f.able())
                                + " a second"));
        return new Found(judge.counts, judge.breaches);
    }

    private void found(Rule rule, int ask, long at, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < SHOWN) {
            breaches.add(new Breach(rule, ask, at, what));
        }
    }

    private void answered(int number, MessageHistory ask) {
        boolean done = ask.doneAt() >= 0 && ask.doneAt() <= ask.due();
        if (ask.told() == MessageHistory.Told.NOTHING || ask.told() == MessageHistory.Told.TAKEN && !done) {
            found(Rule.MISSING, number, ask.due(), "told " + ask.told());
        }
        if (ask.endedAt() > latest(ask)) {
            found(Rule.LATE, number, ask.endedAt(), "due at " + ask.due());
        }
    }

    /** A relay that is away as the time is up tells the end when it is back. */
    private long latest(MessageHistory ask) {
        return aways.getOrDefault(ask.relay(), List.of()).stream()
                        .filter(a -> a.from() <= ask.due() + rules.endSlack() && a.to() > ask.due())
                        .mapToLong(RunHistory.Away::to)
                        .reduce(ask.due(), Math::max)
                + rules.endSlack();
    }

    private void effects(int number, MessageHistory ask) {
        Idempotency repeat = scenario.classes().get(ask.type()).repeat();
        if (repeat == Idempotency.IDEMPOTENT) {
            return;
        }
        long ran = ask.postings().stream().filter(MessageHistory.Posting::ran).count();
        if (ran > 1) {
            found(Rule.TWICE, number, ask.at(), ran + " effects");
        }
        for (MessageHistory.Posting first :
                repeat == Idempotency.NON_IDEMPOTENT ? ask.postings() : List.<MessageHistory.Posting>of()) {
            boolean never =
                    first.answer() == MessageHistory.Answer.FULL || first.answer() == MessageHistory.Answer.UNREACHED;
            for (MessageHistory.Posting second : ask.postings()) {
                if (second != first
                        && second.sent() >= first.sent()
                        && !(never && second.sent() > first.came())
                        && (second.sent() > first.sent() || second.came() > first.came())) {
                    found(Rule.UNPROVEN, number, second.sent(), "after a call with the answer " + first.answer());
                }
            }
        }
    }

    private void drains() {
        Map<Pair, Long> from = new HashMap<>();
        history.drains()
                .forEach(d -> from.merge(new Pair(d.relay(), d.endpoint()), d.at() + rules.drainGrace(), Math::min));
        if (!from.isEmpty()) {
            eachPosting(
                    Rule.DRAINED, p -> p.sent() > from.getOrDefault(new Pair(p.relay(), p.endpoint()), Long.MAX_VALUE));
        }
    }

    private void waits() {
        Map<Pair, List<RunHistory.Wait>> told = new HashMap<>();
        history.waits()
                .forEach(w -> told.computeIfAbsent(new Pair(w.relay(), scope(w.endpoint())), p -> new ArrayList<>())
                        .add(w));
        if (!told.isEmpty()) {
            eachPosting(Rule.WAIT, p -> told.getOrDefault(new Pair(p.relay(), scope(p.endpoint())), List.of()).stream()
                    .anyMatch(w -> p.sent() > w.heard() && p.sent() < w.until()));
        }
    }

    /** What a wait is for: the partner, or the one endpoint where routes are apart. */
    private int scope(int endpoint) {
        int partner = layout.endpoints().get(endpoint).partner();
        return layout.partners().get(partner).group().routesApart() ? endpoint : -1 - partner;
    }

    private void eachPosting(Rule rule, Predicate<MessageHistory.Posting> forbidden) {
        for (int i = 0; i < history.asks().size(); i++) {
            for (MessageHistory.Posting posting : history.asks().get(i).postings()) {
                if (forbidden.test(posting)) {
                    found(rule, i, posting.sent(), "relay " + posting.relay() + " to e" + posting.endpoint());
                }
            }
        }
    }
}
