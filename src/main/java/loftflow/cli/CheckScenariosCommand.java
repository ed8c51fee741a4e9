package loftflow.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import loftflow.config.file.SourceFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks scenario files. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Finds what is wrong with scenario files.")
final class CheckScenariosCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "SCENARIO", description = "Files, or names.")
    private List<String> files;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        boolean clean = true;
        for (String file : files) {
            clean &= ScenarioCommand.read(spec, file).scenario() != null;
        }
        return clean ? ExperimentCommand.CLEAN : ExperimentCommand.FOUND;
    }
}
