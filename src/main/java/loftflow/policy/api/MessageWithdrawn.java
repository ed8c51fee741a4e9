package loftflow.policy.api;

/**
 * Nothing is owed for a message any more: its client gave it up, or it turned out to be delivered.
 *
 * @param id the message
 */
public record MessageWithdrawn(long id) implements PolicyEvent {}
