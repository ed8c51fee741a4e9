package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.LoopbackResult;
import loftflow.experiment.RunResult;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.TraceArrivals;

/** Runs scenarios by relay processes on loopback and prints their progress. */
final class LoopbackRunner {
    private LoopbackRunner() {}

    /** Runs a scenario and prints the lateness of its messages, and whether the run is valid. */
    static RunResult run(PrintWriter out, Scenario scenario, long seed, TraceArrivals replayed, Path folder)
            throws IOException {
        LoopbackResult result;
        try (RunProgress progress = new RunProgress(out, scenario.name() + ", seed " + seed)) {
            result = ExperimentRunner.runOnLoopback(
                    scenario, seed, replayed, LoopbackRun.RelayProgram.OWN, folder, progress);
        }
        LoopbackRun.Outcome outcome = result.outcome();
        out.println(String.format(
                Locale.ROOT,
                "messages left late by %.1f ms at p50, %.1f at p99, %.1f at the most%s; %.0f us of CPU" + " a message",
                outcome.lateness().p50Micros() / 1e3,
                outcome.lateness().p99Micros() / 1e3,
                outcome.lateness().maxMicros() / 1e3,
                outcome.isValid() ? "" : ": INVALID, this machine did not keep up",
                outcome.cpuMicrosPerMessage()));
        return result.result();
    }
}
