package loftflow.experiment.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Independent random streams, one for each use, so that a change to one part of a run leaves other draws unchanged. */
public final class RandomStreams {
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final long NUMBER_MULTIPLIER = 0xbf58476d1ce4e5b9L;

    private RandomStreams() {}

    /** The stream of a seed with a name and a number. */
    public static UniformRandomProvider of(long seed, String name, long number) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {seed * SEED_MULTIPLIER + name.hashCode(), number * NUMBER_MULTIPLIER + seed + 1});
    }
}
