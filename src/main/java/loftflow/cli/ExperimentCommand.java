package loftflow.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Experiments. Exit codes: 0 clean; 1 a rule was violated, a side is worse, or a file has errors; 2 misuse. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description =
                "Plays scenarios in an emulator of programs, partners and failures, and compares what comes of them.",
        subcommands = {
            ListScenariosCommand.class,
            CheckScenariosCommand.class,
            RunScenarioCommand.class,
            CompareScenariosCommand.class,
            SweepCommand.class,
            CapacityCommand.class,
            MinimizeCommand.class,
            RegressionCasesCommand.class,
            ScenarioReferenceCommand.class
        })
final class ExperimentCommand implements Runnable {
    /** Exit code: nothing was found. */
    static final int CLEAN = 0;
    /** Exit code: a rule was violated, a side is worse, or a file has errors. */
    static final int FOUND = 1;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "a command is needed: scenarios, check, run, compare, sweep, capacity, minimize, cases or reference");
    }
}
