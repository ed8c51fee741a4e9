package loftflow.cli;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import loftflow.experiment.ScenarioFiles;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Lists the scenarios that come with the program. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description = "Lists the scenarios that come with the program.")
final class ListScenariosCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        for (String name : ScenarioFiles.BUILT_IN) {
            spec.commandLine()
                    .getOut()
                    .println(String.format(
                            Locale.ROOT,
                            "%-22s %s",
                            name,
                            ScenarioFiles.read(name, ScenarioFiles.builtInText(name))
                                    .scenario()
                                    .description()));
        }
        return ExperimentCommand.CLEAN;
    }
}
