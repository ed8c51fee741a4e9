package loftflow.experiment;

import java.util.List;
import loftflow.experiment.design.PairedComparison;

/**
 * The comparison of one figure of two sides.
 *
 * @param first the first side's values, by seed
 * @param second the second side's values, in the same order
 */
public record FigureComparison(String figure, PairedComparison comparison, List<Double> first, List<Double> second) {
    /** The mean of the first side's values. */
    public double firstMean() {
        return mean(first);
    }

    /** The mean of the second side's values. */
    public double secondMean() {
        return mean(second);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElse(0);
    }
}
