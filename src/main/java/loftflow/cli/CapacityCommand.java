package loftflow.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.Consumer;
import loftflow.config.file.SourceFile;
import loftflow.experiment.CapacityTrials;
import loftflow.experiment.ServiceTarget;
import loftflow.experiment.design.CapacitySearch;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.experiment.scenario.Scenario;
import loftflow.fake.ServedRelay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Searches the capacity of a scenario. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Searches the highest load at which a scenario keeps" + " a service and a latency.")
final class CapacityCommand extends ScenarioCommand {
    @Option(names = "--service", defaultValue = "0.95", description = "At least (${DEFAULT-VALUE}).")
    private double service;

    @Option(names = "--p99", defaultValue = "5000", paramLabel = "MS", description = "At the most (${DEFAULT-VALUE}).")
    private double p99;

    @Option(
            names = "--real",
            paramLabel = "DIR",
            description = "By whole relays on loopback, whose files go there, and beside"
                    + " them by a bare proxy that keeps and decides nothing.")
    private Path real;

    @Option(names = "--core", defaultValue = "-1", description = "The core that whole relays run on; any if left out.")
    private int core;

    @Option(
            names = "--within",
            defaultValue = "0.05",
            description = "The answer may be off by that share (${DEFAULT-VALUE}).")
    private double within;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        Scenario scenario = scenario();
        if (scenario == null) {
            return ExperimentCommand.FOUND;
        }
        if (!(within > 0)) {
            throw misuse("--within takes a share above 0");
        }
        ServiceTarget wanted = new ServiceTarget(service, p99);
        Consumer<String> progress = line -> {
            out().println("  " + line);
            out().flush();
        };
        if (real == null) {
            say("relays", scenario, CapacityTrials.search(within, CapacityTrials.emulator(scenario, wanted, progress)));
            return ExperimentCommand.CLEAN;
        }
        for (boolean bare : new boolean[] {true, false}) {
            say(
                    bare ? "a bare proxy" : "relays",
                    scenario,
                    CapacityTrials.search(
                            within,
                            CapacityTrials.loopback(
                                    scenario,
                                    wanted,
                                    new LoopbackRun.RelayProgram(new ServedRelay.Program(null, core), bare),
                                    real,
                                    progress)));
        }
        return ExperimentCommand.CLEAN;
    }

    private void say(String who, Scenario scenario, CapacitySearch found) {
        double rate = scenario.ratePerSecond();
        out().println(String.format(
                Locale.ROOT,
                "%s: highest load that held: %.3f (%.1f messages a second); lowest that did not:" + " %.3f; %d runs",
                who,
                found.highestPassingLoad(),
                found.highestPassingLoad() * rate,
                found.lowestFailingLoad(),
                found.runs()));
    }
}
