package loftflow.policy.api;

/**
 * The list that is known is from before a restart, and who knows better has been asked: until news of the list come, or
 * a
 * span is over, nothing is to go by it.
 */
public record EndpointListPending(long maxWaitMicros) implements PolicyEvent {}
