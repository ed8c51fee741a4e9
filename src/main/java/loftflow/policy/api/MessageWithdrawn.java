package loftflow.policy.api;

/**
 * A message no longer needs a final answer: its client withdrew it, or it turned out to be delivered.
 *
 * @param id the message
 */
public record MessageWithdrawn(long id) implements PolicyEvent {}
