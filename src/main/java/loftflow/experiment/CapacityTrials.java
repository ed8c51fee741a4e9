package loftflow.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.Consumer;
import loftflow.experiment.design.CapacitySearch;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.loopback.RelayExitedException;
import loftflow.experiment.scenario.Scenario;

/** The search for the capacity of a scenario, and the ways to try a load. */
public final class CapacityTrials {
    private static final double FIRST_LOAD = 1;
    private static final double MIN_LOAD = 0.01;
    private static final double MAX_LOAD = 100;

    private CapacityTrials() {}

    /** Tries loads in the emulator; {@code progress} receives a line for each run. */
    public static CapacityTrial emulator(Scenario scenario, ServiceTarget target, Consumer<String> progress) {
        return (load, seed) -> {
            RunResult result = ExperimentRunner.run(atLoad(scenario, load), seed);
            boolean passed = target.isMetBy(result);
            progress.accept(describe(load, seed, result, passed));
            return passed;
        };
    }

    /**
     * Tries loads by relay processes on loopback. A load fails if messages are sent late or a relay exits, as the
     * machine is at its limit then.
     *
     * @param folder for the relays' files, which are deleted after each run
     * @param progress receives a line for each run
     */
    public static CapacityTrial loopback(
            Scenario scenario,
            ServiceTarget target,
            LoopbackRun.RelayProgram program,
            Path folder,
            Consumer<String> progress) {
        return (load, seed) -> {
            LoopbackResult run;
            try {
                run = ExperimentRunner.runInTemporaryFolder(atLoad(scenario, load), seed, program, folder);
            } catch (RelayExitedException e) {
                progress.accept(
                        String.format(Locale.ROOT, "load %.3f seed %d: not held, %s", load, seed, e.getMessage()));
                return false;
            }
            boolean isValid = run.outcome().isValid();
            boolean passed = isValid && target.isMetBy(run.result());
            progress.accept(describe(load, seed, run.result(), passed)
                    + String.format(
                            Locale.ROOT,
                            ", %.0f us of CPU a message%s",
                            run.outcome().cpuMicrosPerMessage(),
                            isValid ? "" : ", as this machine did not keep up"));
            return passed;
        };
    }

    private static Scenario atLoad(Scenario scenario, double load) {
        return scenario.withDurationAndLoad(scenario.durationMicros(), scenario.loadFactor() * load);
    }

    private static String describe(double load, long seed, RunResult result, boolean passed) {
        return String.format(
                Locale.ROOT,
                "load %.3f seed %d: service %.3f, p99 %.0f ms, %s",
                load,
                seed,
                result.service().score(),
                result.service().p99Millis(),
                passed ? "held" : "not held");
    }

    /**
     * Searches the highest load that passes.
     *
     * @param tolerance the relative error of the answer
     */
    public static CapacitySearch search(double tolerance, CapacityTrial trial) throws IOException {
        CapacitySearch search = new CapacitySearch(FIRST_LOAD, tolerance, MIN_LOAD, MAX_LOAD);
        for (long seed = 1; !search.isDone(); seed++) {
            search.recordRun(trial.passes(search.nextLoad(), seed));
        }
        return search;
    }
}
