package loftflow.experiment.design;

import java.util.Map;
import java.util.TreeMap;

/**
 * The search for the highest load that still meets a target. It doubles or halves the load until the answer lies
 * between two loads, and then bisects that interval on a logarithmic scale. Since runs near the edge pass by chance, a
 * load is decided by a majority of runs, of which loads far from the edge need fewer. If a load fails below one that
 * passed, the noise is larger than the step, and both are run again before the search goes on.
 */
public final class CapacitySearch {
    /** A load is decided once this many more runs agree than disagree, or by the majority of the maximum of runs. */
    private static final int DECISIVE_LEAD = 2;

    private static final int MAX_RUNS_PER_LOAD = 5;
    private static final double STEP_FACTOR = 2;

    /** The results of the runs at one load. */
    private static final class Votes {
        private int passed;
        private int failed;
        private int requiredRuns = DECISIVE_LEAD;

        boolean isDecided() {
            int runs = passed + failed;
            return runs >= requiredRuns
                    && passed != failed
                    && (Math.abs(passed - failed) >= DECISIVE_LEAD || runs >= MAX_RUNS_PER_LOAD);
        }

        boolean hasPassed() {
            return passed > failed;
        }
    }

    private final double tolerance;
    private final double minLoad;
    private final double maxLoad;
    private final TreeMap<Double, Votes> votesByLoad = new TreeMap<>();
    private double nextLoad;
    private int runs;

    /**
     * Starts a search.
     *
     * @param firstLoad the load to begin with
     * @param tolerance the relative error of the answer, above 0
     * @param minLoad lower bound of the search
     * @param maxLoad upper bound of the search
     */
    public CapacitySearch(double firstLoad, double tolerance, double minLoad, double maxLoad) {
        boolean validBounds = minLoad > 0 && maxLoad > minLoad && firstLoad >= minLoad && firstLoad <= maxLoad;
        if (!(tolerance > 0) || !validBounds) {
            throw new IllegalArgumentException(
                    "no search from " + firstLoad + " between " + minLoad + " and " + maxLoad + " to " + tolerance);
        }
        this.tolerance = tolerance;
        this.minLoad = minLoad;
        this.maxLoad = maxLoad;
        nextLoad = firstLoad;
    }

    /** The load to run next. */
    public double nextLoad() {
        return nextLoad;
    }

    /** Records whether a run at {@link #nextLoad} has met the target. */
    public void recordRun(boolean passed) {
        Votes votes = votesByLoad.computeIfAbsent(nextLoad, load -> new Votes());
        runs++;
        if (passed) {
            votes.passed++;
        } else {
            votes.failed++;
        }
        if (votes.isDecided()) {
            nextLoad = chooseNextLoad();
        }
    }

    private double chooseNextLoad() {
        double failing = lowestFailingLoad();
        double highest = votesByLoad.lastKey();
        if (failing < highest && isContradiction(failing, highest)) {
            votesByLoad.get(failing).requiredRuns = MAX_RUNS_PER_LOAD;
            votesByLoad.get(highest).requiredRuns = MAX_RUNS_PER_LOAD;
            return failing;
        }
        for (Map.Entry<Double, Votes> entry : votesByLoad.entrySet()) {
            if (!entry.getValue().isDecided()) {
                return entry.getKey();
            }
        }
        double passing = highestPassingLoad();
        if (passing == 0) {
            return Math.max(minLoad, failing / STEP_FACTOR);
        }
        return failing == Double.POSITIVE_INFINITY
                ? Math.min(maxLoad, passing * STEP_FACTOR)
                : Math.sqrt(passing * failing);
    }

    /** True if a load has passed above one that failed, and the failure was not confirmed by more runs yet. */
    private boolean isContradiction(double failing, double highest) {
        return votesByLoad.get(highest).hasPassed() && votesByLoad.get(failing).requiredRuns < MAX_RUNS_PER_LOAD;
    }

    /** True if the answer is known to the tolerance, or lies beyond a bound. */
    public boolean isDone() {
        double passing = highestPassingLoad();
        double failing = lowestFailingLoad();
        return passing >= maxLoad || failing <= minLoad || passing > 0 && failing / passing <= 1 + tolerance;
    }

    /** The highest load that passed with none failing below it; 0 where there is none. */
    public double highestPassingLoad() {
        double passing = 0;
        for (Map.Entry<Double, Votes> entry : votesByLoad.entrySet()) {
            Votes votes = entry.getValue();
            if (!votes.isDecided() || !votes.hasPassed()) {
                break;
            }
            passing = entry.getKey();
        }
        return passing;
    }

    /** The lowest load that failed; infinite where none did. */
    public double lowestFailingLoad() {
        return votesByLoad.entrySet().stream()
                .filter(entry ->
                        entry.getValue().isDecided() && !entry.getValue().hasPassed())
                .mapToDouble(Map.Entry::getKey)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Number of runs so far. */
    public int runs() {
        return runs;
    }
}
