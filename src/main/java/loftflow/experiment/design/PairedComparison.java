package loftflow.experiment.design;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apache.commons.statistics.inference.AlternativeHypothesis;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/**
 * The difference between two sides in paired runs. The interval is a bootstrap interval over the pairs. Significance is
 * decided by the exact Wilcoxon signed-rank test, since the bootstrap interval of few pairs is too narrow and would
 * report differences between a program and itself.
 *
 * @param pairs number of pairs
 * @param effect mean difference, second side minus first side
 * @param lowerBound lower bound of the 95% interval of the mean difference
 * @param upperBound upper bound of it
 * @param pValue probability of a difference at least as large if the sides were equal
 */
public record PairedComparison(
        Verdict verdict, int pairs, double effect, double lowerBound, double upperBound, double pValue) {
    /** The conclusion. */
    public enum Verdict {
        BETTER,
        WORSE,
        NO_DIFFERENCE_SHOWN,
        TOO_FEW_RUNS;

        /** The text in reports. */
        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** With fewer pairs the test cannot reach significance, whatever the differences. */
    public static final int MIN_PAIRS = 6;

    private static final double SIGNIFICANCE_LEVEL = 0.05;

    /**
     * Compares pairs.
     *
     * @param before the first side's figures, seed by seed
     * @param after the second side's, in the same order
     * @param higherIsBetter whether higher figures are better
     */
    public static PairedComparison of(List<Double> before, List<Double> after, boolean higherIsBetter) {
        if (before.size() != after.size()) {
            throw new IllegalArgumentException(
                    before.size() + " figures beside " + after.size() + ": they are no pairs");
        }
        if (before.isEmpty()) {
            return new PairedComparison(Verdict.TOO_FEW_RUNS, 0, 0, 0, 0, 1);
        }
        List<Double> differences = IntStream.range(0, before.size())
                .mapToObj(i -> after.get(i) - before.get(i))
                .toList();
        SampleStatistics statistics = SampleStatistics.of(differences);
        double pValue = pValue(differences);
        return new PairedComparison(
                verdict(differences.size(), statistics.mean(), pValue, higherIsBetter),
                differences.size(),
                statistics.mean(),
                statistics.lowerBound(),
                statistics.upperBound(),
                pValue);
    }

    /** The two-sided p-value of the signed-rank test; 1 where all differences are 0, for which it is undefined. */
    private static double pValue(List<Double> differences) {
        if (differences.stream().allMatch(difference -> difference == 0)) {
            return 1;
        }
        return WilcoxonSignedRankTest.withDefaults()
                .with(AlternativeHypothesis.TWO_SIDED)
                .test(differences.stream().mapToDouble(difference -> difference).toArray())
                .getPValue();
    }

    private static Verdict verdict(int pairs, double effect, double pValue, boolean higherIsBetter) {
        if (pairs < MIN_PAIRS) {
            return Verdict.TOO_FEW_RUNS;
        }
        if (pValue >= SIGNIFICANCE_LEVEL) {
            return Verdict.NO_DIFFERENCE_SHOWN;
        }
        return effect > 0 == higherIsBetter ? Verdict.BETTER : Verdict.WORSE;
    }
}
