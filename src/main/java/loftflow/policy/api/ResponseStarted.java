package loftflow.policy.api;

/**
 * The answer of an attempt has begun to arrive; its timeout no longer applies.
 *
 * @param id the message
 */
public record ResponseStarted(long id, int attempt, String route) implements PolicyEvent {}
