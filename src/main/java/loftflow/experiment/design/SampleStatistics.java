package loftflow.experiment.design;

import java.util.Arrays;
import java.util.List;
import loftflow.experiment.scenario.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Statistics of repeated runs.
 *
 * @param runs number of values
 * @param lowerBound lower bound of the 95% bootstrap interval of the mean
 * @param upperBound upper bound of it
 */
public record SampleStatistics(int runs, double mean, double min, double max, double lowerBound, double upperBound) {
    private static final double SIGNIFICANCE_LEVEL = 0.05;
    private static final int RESAMPLES = 4_000;

    /** The statistics of some values, at least one. */
    public static SampleStatistics of(List<Double> values) {
        double[] sample = values.stream().mapToDouble(value -> value).toArray();
        double[] means = resampledMeans(sample);
        int lower = (int) (RESAMPLES * SIGNIFICANCE_LEVEL / 2);
        return new SampleStatistics(
                sample.length,
                Arrays.stream(sample).average().orElseThrow(),
                Arrays.stream(sample).min().orElseThrow(),
                Arrays.stream(sample).max().orElseThrow(),
                means[lower],
                means[RESAMPLES - 1 - lower]);
    }

    /** The distance between minimum and maximum, relative to the mean. */
    public double relativeRange() {
        return mean == 0 ? 0 : (max - min) / Math.abs(mean);
    }

    /** The means of bootstrap resamples, in ascending order. */
    private static double[] resampledMeans(double[] values) {
        UniformRandomProvider random = RandomStreams.of(values.length, "bootstrap", 0);
        double[] means = new double[RESAMPLES];
        Arrays.setAll(means, i -> {
            double sum = 0;
            for (int k = 0; k < values.length; k++) {
                sum += values[random.nextInt(values.length)];
            }
            return sum / values.length;
        });
        Arrays.sort(means);
        return means;
    }
}
