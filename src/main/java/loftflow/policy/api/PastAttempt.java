package loftflow.policy.api;

/**
 * An attempt made before a restart.
 *
 * @param sentAtMicros on the clock of the rounds
 * @param outcome null if unknown
 */
public record PastAttempt(String route, long sentAtMicros, AttemptOutcome outcome) {}
