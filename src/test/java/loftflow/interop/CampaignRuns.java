package loftflow.interop;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;

/** Seeded runs side by side, and what they come to together. */
final class CampaignRuns {
    /** Plays one run. */
    interface One<T> {
        T play(long seed) throws Exception;
    }

    /** What a run has come to that could not be played to its end. */
    interface Broken<T> {
        T of(String fault);
    }

    private static final int WORD = 1_000;

    private CampaignRuns() {}

    /** Plays so many, from a seed on, and says how far it has come each thousand. */
    static <T> T play(int runs, long seed, int sideBySide, T none, One<T> run, Broken<T> broken, BinaryOperator<T> plus)
            throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(sideBySide);
        Sum<T> sum = new Sum<>(none, plus);
        for (int i = 0; i < runs; i++) {
            long one = seed + i;
            pool.execute(() -> {
                try {
                    sum.add(run.play(one));
                } catch (Exception | AssertionError e) {
                    sum.add(broken.of("run " + one + ": " + e));
                }
            });
        }
        pool.shutdown();
        if (!pool.awaitTermination(1, TimeUnit.HOURS)) {
            throw new IOException("it takes more than an hour");
        }
        return sum.all;
    }

    private static final class Sum<T> {
        private final BinaryOperator<T> plus;
        private T all;
        private int runs;

        Sum(T none, BinaryOperator<T> plus) {
            this.plus = plus;
            all = none;
        }

        synchronized void add(T one) {
            all = plus.apply(all, one);
            runs++;
            if (runs % WORD == 0) {
                System.out.println(runs + " runs");
            }
        }
    }
}
