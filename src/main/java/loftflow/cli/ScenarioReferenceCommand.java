package loftflow.cli;

import java.util.concurrent.Callable;
import loftflow.experiment.scenario.ScenarioSchema;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the reference of scenario files. */
@Command(
        name = "reference",
        mixinStandardHelpOptions = true,
        description = "Prints every setting of scenario files as Markdown.")
final class ScenarioReferenceCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().getOut().print(ScenarioSchema.SCENARIO.reference());
        spec.commandLine().getOut().flush();
        return ExperimentCommand.CLEAN;
    }
}
