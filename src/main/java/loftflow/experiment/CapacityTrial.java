package loftflow.experiment;

import java.io.IOException;

/** Runs a scenario at a load and decides whether the load passes. */
public interface CapacityTrial {
    /** Returns whether a load, as a multiple of the scenario's own, passes by one seed. */
    boolean passes(double load, long seed) throws IOException;
}
