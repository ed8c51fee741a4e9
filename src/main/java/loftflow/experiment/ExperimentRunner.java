package loftflow.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.experiment.design.ScenarioMinimizer;
import loftflow.experiment.emulator.EmulatorRun;
import loftflow.experiment.emulator.RelayComponents;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.evaluation.ServiceEvaluator;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.ArrivalGenerator;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.TraceArrivals;
import loftflow.fake.TemporaryFolder;
import loftflow.policy.DefaultDeliveryPolicy;

/** Runs scenarios in the emulator or on loopback, and evaluates the runs. */
public final class ExperimentRunner {
    /** Relays with the decision module of this program. */
    public static final RelayComponents OWN_COMPONENTS = RelayComponents.of(DefaultDeliveryPolicy::new);

    private static final RuleLimits LIMITS = RuleLimits.STANDARD;

    private ExperimentRunner() {}

    /** Runs a scenario in the emulator with this program's decision module. */
    public static RunResult run(Scenario scenario, long seed) {
        return run(scenario, seed, OWN_COMPONENTS);
    }

    /** Runs a scenario in the emulator with relays made of the given components. */
    public static RunResult run(Scenario scenario, long seed, RelayComponents components) {
        return run(scenario, seed, layout -> new ArrivalGenerator(scenario, layout, seed), components);
    }

    /** Runs a scenario in the emulator with the messages of a trace in place of generated ones. */
    public static RunResult replay(Scenario scenario, long seed, TraceArrivals arrivals) {
        return run(scenario, seed, layout -> arrivals.iterator(), OWN_COMPONENTS);
    }

    private static RunResult run(
            Scenario scenario,
            long seed,
            Function<Scenario.Layout, Iterator<Arrival>> arrivals,
            RelayComponents components) {
        EmulatorRun.Outcome outcome = new EmulatorRun(scenario, LIMITS, seed, arrivals, components).run();
        return evaluate(scenario, seed, outcome.history(), outcome.events());
    }

    private static RunResult evaluate(Scenario scenario, long seed, RunHistory history, long events) {
        return new RunResult(
                scenario,
                seed,
                ServiceEvaluator.evaluate(scenario, LIMITS, history),
                FleetCostReport.of(history),
                RuleChecker.check(scenario, LIMITS, history),
                history,
                events);
    }

    /**
     * Runs a scenario by relay processes on loopback, in real time.
     *
     * @param replayed messages of a trace in place of generated ones; null for generated ones
     * @param program what runs as each relay
     * @param folder for the relays' files; empty, or not existing yet
     * @param progress receives a snapshot once a second
     */
    public static LoopbackResult runOnLoopback(
            Scenario scenario,
            long seed,
            TraceArrivals replayed,
            LoopbackRun.RelayProgram program,
            Path folder,
            Consumer<ProgressSnapshot> progress)
            throws IOException {
        Scenario.Layout layout = scenario.layout();
        Files.createDirectories(folder);
        try (LoopbackRun run = new LoopbackRun(scenario, LIMITS, seed, program, folder)) {
            Iterator<Arrival> arrivals =
                    replayed == null ? new ArrivalGenerator(scenario, layout, seed) : replayed.iterator();
            LoopbackRun.Outcome outcome = run.play(arrivals, dueMicros -> {}, progress);
            return new LoopbackResult(evaluate(scenario, seed, outcome.history(), 0), outcome);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Runs a scenario on loopback in a temporary folder below the given one. */
    static LoopbackResult runInTemporaryFolder(
            Scenario scenario, long seed, LoopbackRun.RelayProgram program, Path folder) throws IOException {
        try (TemporaryFolder run = TemporaryFolder.in(folder, "run")) {
            return runOnLoopback(scenario, seed, null, program, run.folder(), snapshot -> {});
        }
    }

    /**
     * The smallest scenario that still violates a rule by one seed.
     *
     * @throws IllegalArgumentException if the given scenario does not violate it
     */
    public static Scenario minimize(
            Scenario scenario, long seed, RuleChecker.Rule rule, RelayComponents components, int maxRuns) {
        ScenarioMinimizer minimizer = new ScenarioMinimizer(
                candidate -> run(candidate, seed, components).rules().counts().containsKey(rule), maxRuns);
        return minimizer.minimize(scenario);
    }
}
