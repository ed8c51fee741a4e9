package loftflow.experiment.scenario;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Streams of random numbers: each use has its own, so that a change to one part of a run leaves the draws of others
 * alone.
 */
public final class RandomStreams {
    private RandomStreams() {}

    /** The stream of a seed that has a name and a number. */
    public static UniformRandomProvider of(long seed, String name, long number) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {seed * 0x9e3779b97f4a7c15L + name.hashCode(), number * 0xbf58476d1ce4e5b9L + seed + 1});
    }
}
