package pipitstage.lab.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.inference.AlternativeHypothesis;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;
import pipitstage.lab.scenario.Draws;

/**
 * What paired runs say of a difference between two sides. The interval is a bootstrap's over the pairs; whether there is a
 * difference at all is for an exact test (Wilcoxon's signed ranks), since an interval of few pairs is too narrow and would find
 * differences between a program and itself.
 *
 * @param pairs how many there were
 * @param effect the mean difference, the second side less the first
 * @param low and {@code high}: the 95% interval of it
 * @param p how often pairs with no difference would lie as far from 0
 */
public record Verdict(Word word, int pairs, double effect, double low, double high, double p) {
    /** What is to be said. */
    public enum Word { BETTER, WORSE, NO_DIFFERENCE_SHOWN, TOO_FEW_RUNS }

    /** With fewer pairs no course of them could be told from chance. */
    public static final int LEAST_PAIRS = 6;
    private static final double LEVEL = 0.05;
    private static final int DRAWS = 4_000;

    /**
     * Judges pairs.
     *
     * @param before the first side's figures, seed by seed
     * @param after the second side's, in the same order
     * @param higherIsBetter whether the figure is one to be raised
     */
    public static Verdict of(double[] before, double[] after, boolean higherIsBetter) {
        if (before.length != after.length) {
            throw new IllegalArgumentException(before.length + " figures beside " + after.length + ": they are no pairs");
        }
        double[] differences = new double[before.length];
        Arrays.setAll(differences, i -> after[i] - before[i]);
        if (differences.length == 0) {
            return new Verdict(Word.TOO_FEW_RUNS, 0, 0, 0, 0, 1);
        }
        double effect = Arrays.stream(differences).average().orElseThrow();
        double[] means = means(differences);
        double low = means[(int) (DRAWS * LEVEL / 2)];
        double high = means[DRAWS - 1 - (int) (DRAWS * LEVEL / 2)];
        double p = Arrays.stream(differences).allMatch(d -> d == 0) ? 1 : WilcoxonSignedRankTest.withDefaults()
                .with(AlternativeHypothesis.TWO_SIDED).test(differences).getPValue();
        return new Verdict(word(differences.length, effect, p, higherIsBetter), differences.length, effect, low, high, p);
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

    /** Means of pairs drawn anew from those there are, in order. */
    private static double[] means(double[] differences) {
        UniformRandomProvider random = Draws.of(differences.length, "bootstrap", 0);
        double[] means = new double[DRAWS];
        Arrays.setAll(means, i -> {
            double sum = 0;
            for (int k = 0; k < differences.length; k++) {
                sum += differences[random.nextInt(differences.length)];
            }
            return sum / differences.length;
        });
        Arrays.sort(means);
        return means;
    }
}
