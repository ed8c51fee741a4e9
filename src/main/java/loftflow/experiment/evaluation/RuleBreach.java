package loftflow.experiment.evaluation;

/**
 * One violation of a rule.
 *
 * @param message number of the message in the history; -1 where the violation is of no single message
 * @param atMicros time of the violation since the start of the run
 * @param detail what happened, for a reader
 */
public record RuleBreach(RuleChecker.Rule rule, int message, long atMicros, String detail) {}
