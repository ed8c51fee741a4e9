package loftflow.experiment;

import java.io.IOException;
import java.util.Map;

/** Runs one side of a comparison by one seed. */
public interface SideRunner {
    /** Runs a side and returns its figures by name. */
    Map<String, Double> run(ExperimentSide side, long seed) throws IOException;
}
