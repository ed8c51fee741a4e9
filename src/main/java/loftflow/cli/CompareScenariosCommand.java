package loftflow.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ExperimentSide;
import loftflow.experiment.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares two scenarios, or two builds on one scenario. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Plays two scenarios by turns on the same seeds," + " and says whether the second one is better.")
final class CompareScenariosCommand extends ComparisonCommand {
    @Parameters(
            index = "1",
            paramLabel = "OTHER",
            description = "The scenario beside it, such as one with other slots; the same" + " one for another build.")
    private String other;

    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The second side is played by another build, its jar or a"
                    + " folder of classes: by its decision module in the emulator, by all of it with --real.")
    private Path build;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        Scenario first = scenario();
        Scenario second = ScenarioCommand.read(spec, other).scenario();
        return first == null || second == null
                ? ExperimentCommand.FOUND
                : judge(
                        first.name() + " | " + second.name() + " | " + other,
                        List.of(new ExperimentSide("A", first, null), new ExperimentSide("B", second, build)));
    }
}
