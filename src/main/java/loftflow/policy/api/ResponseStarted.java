package loftflow.policy.api;

/**
 * The answer to an attempt has begun to arrive; the attempt's timeout no longer applies.
 *
 * @param id the message
 */
public record ResponseStarted(long id, int attempt, String route) implements PolicyEvent {}
