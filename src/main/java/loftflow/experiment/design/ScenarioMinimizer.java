package loftflow.experiment.design;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import loftflow.experiment.scenario.Scenario;

/**
 * Makes a scenario smaller as long as it reproduces a finding: parts are removed by delta debugging (Zeller's ddmin),
 * then relays, duration and load are halved, until no single part can be removed.
 */
public final class ScenarioMinimizer {
    private static final long MIN_DURATION_MICROS = 1_000_000;
    private static final double MIN_LOAD = 0.05;

    private final Predicate<Scenario> reproduces;
    private final int maxRuns;
    private int runs;

    /**
     * Creates a minimizer.
     *
     * @param reproduces runs a scenario and returns whether it reproduces the finding; must be deterministic
     * @param maxRuns maximum number of runs
     */
    public ScenarioMinimizer(Predicate<Scenario> reproduces, int maxRuns) {
        this.reproduces = reproduces;
        this.maxRuns = maxRuns;
    }

    /** Number of runs so far. */
    public int runs() {
        return runs;
    }

    /**
     * The smallest scenario found.
     *
     * @throws IllegalArgumentException if the given scenario does not reproduce the finding
     */
    public Scenario minimize(Scenario scenario) {
        if (!reproducesIn(scenario)) {
            throw new IllegalArgumentException("the scenario does not show it: there is nothing to make smaller");
        }
        Scenario best = scenario;
        Scenario previous = null;
        while (previous != best && runs < maxRuns) {
            previous = best;
            best = removeParts(best, Scenario::failures, Scenario::withFailures, 0);
            best = removeParts(best, Scenario::classes, Scenario::withClasses, 1);
            best = removeParts(best, Scenario::groups, Scenario::withGroups, 1);
            best = halve(
                    best, ScenarioMinimizer::withHalfTheRelays, s -> s.fleet().relays() >= 1);
            best = halve(
                    best,
                    s -> s.withDurationAndLoad(s.durationMicros() / 2, s.loadFactor()),
                    s -> s.durationMicros() >= MIN_DURATION_MICROS);
            best = halve(
                    best,
                    s -> s.withDurationAndLoad(s.durationMicros(), s.loadFactor() / 2),
                    s -> s.loadFactor() >= MIN_LOAD);
        }
        return best;
    }

    private boolean reproducesIn(Scenario scenario) {
        runs++;
        return reproduces.test(scenario);
    }

    private interface PartReplacement<T> {
        Scenario apply(Scenario scenario, List<T> parts);
    }

    /** Delta debugging over one kind of part, of which a minimum number is needed. */
    private <T> Scenario removeParts(
            Scenario scenario, Function<Scenario, List<T>> getParts, PartReplacement<T> replacement, int minParts) {
        Scenario best = scenario;
        List<T> parts = getParts.apply(best);
        int chunks = 2;
        while (parts.size() > minParts && runs < maxRuns) {
            int chunkSize = Math.max(1, (parts.size() + chunks - 1) / chunks);
            List<T> reduced = removeOneChunk(best, parts, replacement, minParts, chunkSize);
            if (reduced != null) {
                parts = reduced;
                best = replacement.apply(best, parts);
                chunks = Math.max(2, chunks - 1);
            } else if (chunkSize == 1) {
                break;
            } else {
                chunks = Math.min(parts.size(), chunks * 2);
            }
        }
        return best;
    }

    /** The parts without the first chunk that is not needed to reproduce the finding; null where all are needed. */
    private <T> List<T> removeOneChunk(
            Scenario scenario, List<T> parts, PartReplacement<T> replacement, int minParts, int chunkSize) {
        for (int from = 0; from < parts.size() && runs < maxRuns; from += chunkSize) {
            List<T> rest = new ArrayList<>(parts.subList(0, from));
            rest.addAll(parts.subList(Math.min(parts.size(), from + chunkSize), parts.size()));
            if (rest.size() >= minParts) {
                Scenario candidate = replacement.apply(scenario, rest);
                if (isConsistent(candidate) && reproducesIn(candidate)) {
                    return rest;
                }
            }
        }
        return null;
    }

    /** False if a class has no partner to go to, nothing arrives, or a failure has no group or begins after the end. */
    private static boolean isConsistent(Scenario scenario) {
        boolean classesHavePartners = scenario.classes().stream()
                .allMatch(c -> scenario.groups().stream().anyMatch(g -> g.trafficWeight() > 0 && c.goesTo(g.kind())));
        boolean hasTraffic = scenario.classes().stream().anyMatch(c -> c.ratePerSecond() > 0);
        return classesHavePartners
                && hasTraffic
                && scenario.failures().stream().allMatch(failure -> isConsistent(scenario, failure));
    }

    private static boolean isConsistent(Scenario scenario, Scenario.Failure failure) {
        boolean hasGroup = failure.group() == null
                || scenario.groups().stream().anyMatch(g -> g.name().equals(failure.group()));
        return hasGroup && failure.startMicros() < scenario.durationMicros();
    }

    /** Halves something as long as the result is large enough and still reproduces the finding. */
    private Scenario halve(Scenario scenario, UnaryOperator<Scenario> half, Predicate<Scenario> isLargeEnough) {
        Scenario best = scenario;
        Scenario next = half.apply(best);
        while (isLargeEnough.test(next) && runs < maxRuns && isConsistent(next) && reproducesIn(next)) {
            best = next;
            next = half.apply(best);
        }
        return best;
    }

    private static Scenario withHalfTheRelays(Scenario scenario) {
        Scenario.Fleet fleet = scenario.fleet();
        return scenario.withFleet(fleet.withRelays(fleet.relays() / 2));
    }
}
