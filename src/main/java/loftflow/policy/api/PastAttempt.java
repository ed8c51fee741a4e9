package loftflow.policy.api;

/**
 * An attempt made before a restart.
 *
 * @param sentAtMicros on the clock of the rounds
 * @param outcome null where it is not known
 */
public record PastAttempt(String route, long sentAtMicros, AttemptOutcome outcome) {}
