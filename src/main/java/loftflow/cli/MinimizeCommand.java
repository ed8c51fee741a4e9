package loftflow.cli;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.config.file.SourceFile;
import loftflow.experiment.ExperimentRunner;
import loftflow.experiment.RegressionCases;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.scenario.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Minimizes a scenario that violates a rule. */
@Command(
        name = "minimize",
        mixinStandardHelpOptions = true,
        description =
                "Makes a scenario that breaks a rule smaller, as long" + " as it breaks it, and keeps the small one.")
final class MinimizeCommand extends ScenarioCommand {
    @Option(names = "--seed", required = true, description = "The seed by which it breaks the rule.")
    private long seed;

    @Option(names = "--rule", required = true, description = "${COMPLETION-CANDIDATES}.")
    private RuleChecker.Rule rule;

    @Option(
            names = "--cases",
            required = true,
            paramLabel = "DIR",
            description = "The folder of cases in which the small one is" + " kept; lab cases plays them all.")
    private Path cases;

    @Option(names = "--runs", defaultValue = "300", description = "Runs at the most (${DEFAULT-VALUE}).")
    private int runs;

    @Override
    public Integer call() throws IOException, SourceFile.UnreadableException {
        Scenario scenario = scenario();
        if (scenario == null) {
            return ExperimentCommand.FOUND;
        }
        try {
            Scenario small = ExperimentRunner.minimize(scenario, seed, rule, ExperimentRunner.OWN_COMPONENTS, runs);
            Path to = RegressionCases.save(cases, small, seed, rule);
            out().println(to + ": " + small.failures().size() + " of "
                    + scenario.failures().size() + " failures, "
                    + small.groups().size() + " of " + scenario.groups().size() + " groups, "
                    + small.classes().size() + " of "
                    + scenario.classes().size() + " classes, "
                    + small.fleet().relays() + " of " + scenario.fleet().relays()
                    + " relays");
            return ExperimentCommand.CLEAN;
        } catch (IllegalArgumentException e) {
            throw misuse("seed " + seed + " does not break " + rule + ": there is nothing to make smaller");
        }
    }
}
