package loftflow.policy.api;

/** An attempt made before a restart; {@code result} is null where nothing is known of it. */
public record PastAttempt(String route, long sentAtMicros, AttemptOutcome outcome) {}
