package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ScenarioFiles;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioReader;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A command that takes a scenario. */
abstract class ScenarioCommand implements Callable<Integer> {
    @Parameters(
            index = "0",
            paramLabel = "SCENARIO",
            description = "A file, or the name of one that comes with the program.")
    private String scenario;

    @Spec
    private CommandSpec spec;

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** The exception for misuse of the command line. */
    CommandLine.ParameterException misuse(String reason) {
        return new CommandLine.ParameterException(spec.commandLine(), reason);
    }

    /** Reads the scenario and prints its findings; null where it has errors. */
    Scenario scenario() throws IOException, SourceFile.UnreadableException {
        return read(spec, scenario).scenario();
    }

    /** Reads a scenario by its file or name and prints its findings to standard error. */
    static ScenarioReader.ReadResult read(CommandSpec spec, String name)
            throws IOException, SourceFile.UnreadableException {
        ScenarioReader.ReadResult read = ScenarioFiles.BUILT_IN.contains(name)
                ? ScenarioFiles.read(name, ScenarioFiles.builtInText(name))
                : ScenarioFiles.read(name, SourceFile.readText(Path.of(name)));
        read.findings().forEach(finding -> spec.commandLine().getErr().println(finding));
        return read;
    }
}
