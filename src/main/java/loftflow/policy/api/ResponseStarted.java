package loftflow.policy.api;

/** The answer of an attempt has begun to arrive; its time-out no longer applies. */
public record ResponseStarted(long id, int attempt, String route) implements PolicyEvent {}
