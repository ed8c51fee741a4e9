package loftflow.experiment.design;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import loftflow.experiment.scenario.Scenario;

/**
 * Makes a scenario smaller as long as it still shows what it showed: parts are left out by delta debugging (Zeller's
 * ddmin),
 * then relays, the span and the load are cut. It ends with a scenario of which no single part can be left out.
 */
public final class ScenarioMinimizer {
    private static final long SECOND = 1_000_000;
    private static final double LEAST_LOAD = 0.05;

    private final Predicate<Scenario> shows;
    private final int most;
    private int tried;

    /**
     * A shrinking.
     *
     * @param shows runs a scenario and tells whether it still shows what matters; the same scenario must give the same
     *     answer
     * @param most runs at the most
     */
    public ScenarioMinimizer(Predicate<Scenario> shows, int most) {
        this.shows = shows;
        this.most = most;
    }

    /** Runs made so far. */
    public int tried() {
        return tried;
    }

    /**
     * The smallest that was found.
     *
     * @throws IllegalArgumentException where the scenario does not show it to begin with
     */
    public Scenario of(Scenario scenario) {
        if (!holds(scenario)) {
            throw new IllegalArgumentException("the scenario does not show it: there is nothing to make smaller");
        }
        Scenario best = scenario;
        for (Scenario before = null; before != best && tried < most; ) {
            before = best;
            best = parts(best, Scenario::failures, Scenario::withFailures, 0);
            best = parts(best, Scenario::classes, Scenario::withClasses, 1);
            best = parts(best, Scenario::groups, Scenario::withGroups, 1);
            best = halved(best, ScenarioMinimizer::halfTheRelays, s -> s.fleet().relays() >= 1);
            best = halved(best, s -> s.withSpan(s.span() / 2, s.load()), s -> s.span() >= SECOND);
            best = halved(best, s -> s.withSpan(s.span(), s.load() / 2), s -> s.load() >= LEAST_LOAD);
        }
        return best;
    }

    private boolean holds(Scenario scenario) {
        tried++;
        return shows.test(scenario);
    }

    private interface With<T> {
        Scenario apply(Scenario scenario, List<T> parts);
    }

    /** Delta debugging over one kind of part. */
    private <T> Scenario parts(Scenario scenario, Function<Scenario, List<T>> of, With<T> with, int least) {
        Scenario best = scenario;
        List<T> parts = of.apply(best);
        int pieces = 2;
        while (parts.size() > least && tried < most) {
            int size = Math.max(1, (parts.size() + pieces - 1) / pieces);
            List<T> smaller = null;
            for (int from = 0; from < parts.size() && smaller == null && tried < most; from += size) {
                List<T> rest = new ArrayList<>(parts.subList(0, from));
                rest.addAll(parts.subList(Math.min(parts.size(), from + size), parts.size()));
                if (rest.size() >= least && isSound(with.apply(best, rest)) && holds(with.apply(best, rest))) {
                    smaller = rest;
                }
            }
            if (smaller != null) {
                parts = smaller;
                best = with.apply(best, parts);
                pieces = Math.max(2, pieces - 1);
            } else if (size == 1) {
                break;
            } else {
                pieces = Math.min(parts.size(), pieces * 2);
            }
        }
        return best;
    }

    /** Guards against a scenario that is none: a class that nobody takes, or a failure of a group that is gone. */
    private static boolean isSound(Scenario s) {
        return s.classes().stream()
                        .allMatch(c -> s.groups().stream().anyMatch(g -> g.weight() > 0 && c.goesTo(g.kind())))
                && s.classes().stream().anyMatch(c -> c.rate() > 0)
                && s.failures().stream()
                        .allMatch(f -> (f.group() == null
                                        || s.groups().stream()
                                                .anyMatch(g -> g.name().equals(f.group())))
                                && f.at() < s.span());
    }

    /** Halves something as long as enough is left of it and the scenario still shows what matters. */
    private Scenario halved(Scenario scenario, UnaryOperator<Scenario> half, Predicate<Scenario> isEnough) {
        Scenario best = scenario;
        Scenario next = half.apply(best);
        while (isEnough.test(next) && tried < most && isSound(next) && holds(next)) {
            best = next;
            next = half.apply(best);
        }
        return best;
    }

    private static Scenario halfTheRelays(Scenario s) {
        Scenario.Fleet f = s.fleet();
        return s.withFleet(
                new Scenario.Fleet(f.relays() / 2, f.skew(), f.slots(), f.messages(), f.round(), f.restart()));
    }
}
