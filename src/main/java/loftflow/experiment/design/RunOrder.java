package loftflow.experiment.design;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import loftflow.experiment.scenario.RandomStreams;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * In which order the sides of an experiment are run. Each seed is a block in which every side runs once, so that sides
 * are
 * compared on the same seed. Where a machine grows warmer or busier meanwhile, no side may always come first: over each
 * pair of
 * blocks every two sides follow each other as often in one order as in the other.
 */
public final class RunOrder {
    /** One run. */
    public record Run(int side, long seed) {}

    private RunOrder() {}

    /**
     * All runs, in order.
     *
     * @param by the seed of the order itself: the same experiment resumes in the same order
     */
    public static List<Run> of(int sides, List<Long> seeds, long by) {
        List<Integer> first = new ArrayList<>();
        for (int i = 0; i < sides; i++) {
            first.add(i);
        }
        var random = RandomStreams.of(by, "order", sides);
        List<Run> runs = new ArrayList<>();
        for (int block = 0; block < seeds.size(); block++) {
            if (block % 2 == 0) {
                ListSampler.shuffle(random, first);
            } else {
                Collections.reverse(first);
            }
            for (int side : first) {
                runs.add(new Run(side, seeds.get(block)));
            }
        }
        return runs;
    }

    /** What is left to run, once so much is finished. */
    public static List<Run> left(List<Run> all, Set<Run> finished) {
        return all.stream().filter(run -> !finished.contains(run)).toList();
    }
}
