package loftflow.policy.api;

/** The end of a request in order, of which {@link PolicyActions#isCompletionAcknowledged} was false, has been heard. */
public record CompletionAcknowledged(long id) implements PolicyEvent {}
