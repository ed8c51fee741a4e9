package loftflow.cli;

import java.io.IOException;
import java.util.List;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ExperimentSide;
import loftflow.experiment.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares a scenario with several values of one factor. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario with several values of one factor by" + " turns, each judged against the first.")
final class SweepCommand extends ComparisonCommand {
    /** A factor that can be varied; the names are values of an option. */
    enum Factor {
        load,
        slots,
        messages,
        relays
    }

    @Option(names = "--factor", required = true, description = "${COMPLETION-CANDIDATES}.")
    private Factor factor;

    @Option(names = "--values", required = true, split = ",", description = "Such as 1,1.5,2.")
    private List<Double> values;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        Scenario scenario = scenario();
        if (scenario == null) {
            return ExperimentCommand.FOUND;
        }
        if (values.size() < 2 || values.stream().anyMatch(v -> !(v > 0))) {
            throw misuse("--values takes two or more numbers above 0");
        }
        judge(
                scenario.name() + " by " + factor,
                values.stream()
                        .map(v -> new ExperimentSide(factor + "=" + v, with(scenario, v), null))
                        .toList());
        return ExperimentCommand.CLEAN;
    }

    private Scenario with(Scenario scenario, double value) {
        Scenario.Fleet fleet = scenario.fleet();
        int count = (int) Math.max(1, Math.round(value));
        return switch (factor) {
            case load -> scenario.withDurationAndLoad(scenario.durationMicros(), value);
            case slots -> scenario.withFleet(fleet.withConcurrentCalls(count));
            case messages -> scenario.withFleet(fleet.withBufferedMessages(count));
            case relays -> scenario.withFleet(fleet.withRelays(count));
        };
    }
}
