package loftflow.experiment.design;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apache.commons.statistics.inference.AlternativeHypothesis;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/**
 * What paired runs say of a difference between two sides. The interval is a bootstrap's over the pairs; whether there
 * is a
 * difference at all is for an exact test (Wilcoxon's signed ranks), since an interval of few pairs is too narrow and
 * would find
 * differences between a program and itself.
 *
 * @param pairs how many there were
 * @param effect the mean difference, the second side less the first
 * @param low and {@code high}: the 95% interval of it
 * @param p how often pairs with no difference would lie as far from 0
 */
public record PairedComparison(Word word, int pairs, double effect, double low, double high, double p) {
    /** What is to be said. */
    public enum Word {
        BETTER,
        WORSE,
        NO_DIFFERENCE_SHOWN,
        TOO_FEW_RUNS;

        /** As it is said. */
        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** With fewer pairs no course of them could be told from chance. */
    public static final int LEAST_PAIRS = 6;

    private static final double LEVEL = 0.05;

    /**
     * Judges pairs.
     *
     * @param before the first side's figures, seed by seed
     * @param after the second side's, in the same order
     * @param higherIsBetter whether the figure is one to be raised
     */
    public static PairedComparison of(List<Double> before, List<Double> after, boolean higherIsBetter) {
        if (before.size() != after.size()) {
            throw new IllegalArgumentException(
                    before.size() + " figures beside " + after.size() + ": they are no pairs");
        }
        if (before.isEmpty()) {
            return new PairedComparison(Word.TOO_FEW_RUNS, 0, 0, 0, 0, 1);
        }
        List<Double> differences = IntStream.range(0, before.size())
                .mapToObj(i -> after.get(i) - before.get(i))
                .toList();
        SampleStatistics spread = SampleStatistics.of(differences);
        double p = differences.stream().allMatch(d -> d == 0)
                ? 1
                : WilcoxonSignedRankTest.withDefaults()
                        .with(AlternativeHypothesis.TWO_SIDED)
                        .test(differences.stream().mapToDouble(d -> d).toArray())
                        .getPValue();
        return new PairedComparison(
                word(differences.size(), spread.mean(), p, higherIsBetter),
                differences.size(),
                spread.mean(),
                spread.low(),
                spread.high(),
                p);
    }

    private static Word word(int pairs, double effect, double p, boolean higherIsBetter) {
        if (pairs < LEAST_PAIRS) {
            return Word.TOO_FEW_RUNS;
        }
        if (p >= LEVEL) {
            return Word.NO_DIFFERENCE_SHOWN;
        }
        return effect > 0 == higherIsBetter ? Word.BETTER : Word.WORSE;
    }
}
