package loftflow.policy.api;

/**
 * The completion notice of an ordered message was acknowledged. Follows a {@link CompletionPending}, or the end of a
 * message for which {@link PolicyActions#isCompletionAcknowledged} returned false.
 *
 * @param id the message
 */
public record CompletionAcknowledged(long id) implements PolicyEvent {}
