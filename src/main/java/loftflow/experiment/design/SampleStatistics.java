package loftflow.experiment.design;

import java.util.Arrays;
import java.util.List;
import loftflow.experiment.scenario.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What like runs came to: their mean, the least and the most of them, and the 95% interval of the mean, a bootstrap's.
 *
 * @param runs how many there were
 */
public record SampleStatistics(int runs, double mean, double least, double most, double low, double high) {
    private static final double LEVEL = 0.05;
    private static final int DRAWS = 4_000;

    /** The spread of some values, at least one. */
    public static SampleStatistics of(List<Double> values) {
        double[] all = values.stream().mapToDouble(v -> v).toArray();
        double[] means = means(all);
        return new SampleStatistics(
                all.length,
                Arrays.stream(all).average().orElseThrow(),
                Arrays.stream(all).min().orElseThrow(),
                Arrays.stream(all).max().orElseThrow(),
                means[(int) (DRAWS * LEVEL / 2)],
                means[DRAWS - 1 - (int) (DRAWS * LEVEL / 2)]);
    }

    /** How far apart the least and the most are, beside the mean. */
    public double range() {
        return mean == 0 ? 0 : (most - least) / Math.abs(mean);
    }

    /** Means of values drawn anew from those there are, in order. */
    private static double[] means(double[] values) {
        UniformRandomProvider random = RandomStreams.of(values.length, "bootstrap", 0);
        double[] means = new double[DRAWS];
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
