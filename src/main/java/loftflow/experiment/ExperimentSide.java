package loftflow.experiment;

import java.nio.file.Path;
import loftflow.experiment.scenario.Scenario;

/**
 * A side of a comparison.
 *
 * @param build a jar or a folder of classes that runs the scenario; null for this program
 */
public record ExperimentSide(String name, Scenario scenario, Path build) {}
