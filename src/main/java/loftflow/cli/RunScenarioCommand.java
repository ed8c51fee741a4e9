package loftflow.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.RunResult;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a scenario and prints its figures. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario and tells its service and the rules.")
final class RunScenarioCommand extends ScenarioCommand {
    @Option(names = "--seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--seeds",
            defaultValue = "1",
            description = "How many seeds, from the first on (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--json", paramLabel = "FILE", description = "Figures as JSON, a line for each run.")
    private Path json;

    @Option(names = "--csv", paramLabel = "FILE", description = "Figures as CSV, a row for each run.")
    private Path csv;

    @Option(names = "--page", paramLabel = "FILE", description = "A page with plots of the last run.")
    private Path page;

    @Option(
            names = "--real",
            paramLabel = "DIR",
            description = "By whole relays on loopback, in real time; their files, journals" + " and logs go there.")
    private Path real;

    @Option(
            names = "--follow",
            paramLabel = "MESSAGE",
            description =
                    "All that became of one message, by the number that a broken" + " rule or a late end names it by.")
    private Integer follow;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        Scenario scenario = scenario();
        if (scenario == null) {
            return ExperimentCommand.FOUND;
        }
        RunPrinter printer = new RunPrinter(out());
        List<RunResult> all = new ArrayList<>();
        boolean clean = true;
        for (int i = 0; i < seeds; i++) {
            RunResult result = real == null
                    ? ExperimentRunner.run(scenario, seed + i)
                    : LoopbackRunner.run(out(), scenario, seed + i, null, real.resolve("seed" + (seed + i)));
            printer.print(result);
            if (follow != null) {
                follow(result, follow);
            }
            clean &= result.rules().isClean();
            if (i == seeds - 1) {
                RunFiles.writePage(page, result);
            }
            all.add(result);
        }
        if (json != null) {
            RunFiles.writeJson(json, all);
        }
        if (csv != null) {
            RunFiles.writeCsv(csv, all);
        }
        return clean ? ExperimentCommand.CLEAN : ExperimentCommand.FOUND;
    }

    /** Prints everything that happened to one message. */
    private void follow(RunResult result, int number) {
        List<MessageHistory> messages = result.history().messages();
        if (number < 0 || number >= messages.size()) {
            throw misuse("--follow takes a message from 0 to " + (messages.size() - 1) + " of seed " + result.seed());
        }
        MessageHistory message = messages.get(number);
        out().println(String.format(
                Locale.ROOT,
                "  message %d, %s for partner %d: handed in at %d us to relay %d, %d times, due at %d us",
                number,
                result.scenario().classes().get(message.classIndex()).name(),
                message.partner(),
                message.submittedAtMicros(),
                message.relay(),
                message.submissions(),
                message.deadlineMicros()));
        message.calls().forEach(p -> out().println(String.format(
                Locale.ROOT,
                "    %d us: relay %d sends it to e%d, there at %d us," + " %s, %s",
                p.sentAtMicros(),
                p.relay(),
                p.endpoint(),
                p.arrivedAtMicros(),
                p.executed() ? "it runs" : "it does not run",
                p.response().code())));
        out().println("    "
                + (message.completedAtMicros() < 0
                        ? "no end was told"
                        : "an end was told at " + message.completedAtMicros() + " us")
                + "; last told " + message.clientOutcome().code()
                + (message.deliveredAtMicros() < 0 ? "" : "; done at " + message.deliveredAtMicros() + " us"));
    }
}
