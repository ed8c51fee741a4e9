package loftflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.RegressionCases;
import loftflow.experiment.evaluation.RuleChecker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs the regression cases of a folder. */
@Command(
        name = "cases",
        mixinStandardHelpOptions = true,
        description = "Plays every case of a folder, each by its seed, and tells" + " which break a rule.")
final class RegressionCasesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "A folder that lab minimize has kept cases in.")
    private Path folder;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        List<RegressionCases.Case> cases = RegressionCases.in(folder);
        for (RegressionCases.Case one : cases) {
            Map<RuleChecker.Rule, Integer> found =
                    ExperimentRunner.run(one.scenario(), one.seed()).rules().counts();
            broken += found.isEmpty() ? 0 : 1;
            out.println(one.file().getFileName() + ": " + (found.isEmpty() ? "no rule was broken" : "breaks " + found));
        }
        out.println(broken + " of " + cases.size() + " cases break a rule");
        return broken == 0 ? ExperimentCommand.CLEAN : ExperimentCommand.FOUND;
    }
}
