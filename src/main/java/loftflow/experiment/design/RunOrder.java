package loftflow.experiment.design;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import loftflow.experiment.scenario.RandomStreams;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * The order in which the sides of an experiment are run. Each seed is a block in which every side runs once, so that
 * sides are compared on the same seed. The second block of each pair reverses the order of the first, so that a drift
 * of the machine, such as its temperature, affects all sides alike.
 */
public final class RunOrder {
    /** One run of a side by a seed. */
    public record Run(int side, long seed) {}

    private RunOrder() {}

    /**
     * All runs, in order.
     *
     * @param orderSeed seed of the order itself: an experiment that is resumed continues in the same order
     */
    public static List<Run> of(int sides, List<Long> seeds, long orderSeed) {
        List<Integer> block = new ArrayList<>();
        for (int i = 0; i < sides; i++) {
            block.add(i);
        }
        var random = RandomStreams.of(orderSeed, "order", sides);
        List<Run> runs = new ArrayList<>();
        for (int i = 0; i < seeds.size(); i++) {
            if (i % 2 == 0) {
                ListSampler.shuffle(random, block);
            } else {
                Collections.reverse(block);
            }
            for (int side : block) {
                runs.add(new Run(side, seeds.get(i)));
            }
        }
        return runs;
    }

    /** The runs that are not finished yet, in order. */
    public static List<Run> remaining(List<Run> all, Set<Run> finished) {
        return all.stream().filter(run -> !finished.contains(run)).toList();
    }
}
