package loftflow.policy.api;

/**
 * The list in force is from before a restart, and discovery was asked for a newer one: nothing is sent until that
 * arrives.
 *
 * @param maxWaitMicros after this long the list in force is used all the same
 */
public record EndpointListPending(long maxWaitMicros) implements PolicyEvent {}
