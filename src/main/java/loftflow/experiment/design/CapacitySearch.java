package loftflow.experiment.design;

import java.util.TreeMap;

/**
 * The search for the highest load that still holds what was asked for. It first doubles or halves until the answer lies
 * between
 * two loads, then cuts that span, on a scale of ratios. Since a run near the edge holds by chance, a load is decided by
 * a
 * majority, and one that is far from the edge by fewer runs than one near it. A load that fails below one that held
 * shows that
 * the noise is larger than the step: both are asked again before the search goes on.
 */
public final class CapacitySearch {
    /** Runs that agree decide a load; or the majority of so many. */
    private static final int AGREE = 2;

    private static final int MOST_RUNS = 5;
    private static final double DOUBLE = 2;

    /** What runs at a load have said. */
    private static final class Votes {
        private int held;
        private int failed;
        private int needed = AGREE;

        boolean isDecided() {
            return held + failed >= needed
                    && held != failed
                    && (Math.abs(held - failed) >= AGREE || held + failed >= MOST_RUNS);
        }
    }

    private final double tolerance;
    private final double least;
    private final double most;
    private final TreeMap<Double, Votes> loads = new TreeMap<>();
    private double next;
    private int runs;

    /**
     * A search.
     *
     * @param first the load to begin at
     * @param tolerance the share by which the answer may be off, above 0
     * @param least and {@code most}: the bounds of the search
     */
    public CapacitySearch(double first, double tolerance, double least, double most) {
        if (!(tolerance > 0) || !(least > 0) || !(most > least) || !(first >= least && first <= most)) {
            throw new IllegalArgumentException(
                    "no search from " + first + " between " + least + " and " + most + " to " + tolerance);
        }
        this.tolerance = tolerance;
        this.least = least;
        this.most = most;
        next = first;
    }

    /** The load to run next. */
    public double next() {
        return next;
    }

    /** A run at {@link #next} has held what was asked for, or not. */
    public void ran(boolean held) {
        Votes votes = loads.computeIfAbsent(next, l -> new Votes());
        runs++;
        if (held) {
            votes.held++;
        } else {
            votes.failed++;
        }
        if (votes.isDecided()) {
            next = choose();
        }
    }

    private boolean holds(Votes votes) {
        return votes.held > votes.failed;
    }

    /** The highest load below which none failed, and the lowest that failed above it. */
    private double held() {
        double held = 0;
        for (var load : loads.entrySet()) {
            if (!load.getValue().isDecided() || !holds(load.getValue())) {
                break;
            }
            held = load.getKey();
        }
        return held;
    }

    private double failed() {
        return loads.entrySet().stream()
                .filter(l -> l.getValue().isDecided() && !holds(l.getValue()))
                .mapToDouble(l -> l.getKey())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private double choose() {
        double failed = failed();
        Double above = loads.lastEntry().getKey();
        if (failed < above && holds(loads.get(above)) && loads.get(failed).needed < MOST_RUNS) {
            // Guards against an edge that noise has made: a load held above one that failed.
            loads.get(failed).needed = MOST_RUNS;
            loads.get(above).needed = MOST_RUNS;
            return failed;
        }
        for (var load : loads.entrySet()) {
            if (!load.getValue().isDecided()) {
                return load.getKey();
            }
        }
        double held = held();
        if (held == 0) {
            return Math.max(least, failed / DOUBLE);
        }
        return failed == Double.POSITIVE_INFINITY ? Math.min(most, held * DOUBLE) : Math.sqrt(held * failed);
    }

    /** True where the answer is known to the tolerance, or lies beyond a bound. */
    public boolean isDone() {
        double held = held();
        double failed = failed();
        return held >= most || failed <= least || held > 0 && failed / held <= 1 + tolerance;
    }

    /** The highest load that held; 0 where not even the least did. */
    public double answer() {
        return held();
    }

    /** The lowest load that failed; infinite where none did. */
    public double beyond() {
        return failed();
    }

    public int runs() {
        return runs;
    }
}
