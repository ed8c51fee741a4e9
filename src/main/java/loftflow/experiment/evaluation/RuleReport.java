package loftflow.experiment.evaluation;

import java.util.List;
import java.util.Map;

/**
 * The rule violations of a run.
 *
 * @param counts the number of violations of each violated rule
 * @param firstBreaches the first violations, a limited number
 */
public record RuleReport(Map<RuleChecker.Rule, Integer> counts, List<RuleBreach> firstBreaches) {
    /** True if no rule was violated. */
    public boolean isClean() {
        return counts.isEmpty();
    }
}
