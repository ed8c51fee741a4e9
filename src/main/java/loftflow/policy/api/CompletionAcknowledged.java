package loftflow.policy.api;

/**
 * The completion of an ordered message, for which {@link PolicyActions#isCompletionAcknowledged} was false, was
 * acknowledged.
 *
 * @param id the message
 */
public record CompletionAcknowledged(long id) implements PolicyEvent {}
