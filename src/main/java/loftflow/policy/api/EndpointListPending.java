package loftflow.policy.api;

/**
 * The list in force is from before a restart, and a newer one was requested from discovery: nothing is sent until that
 * one arrives.
 *
 * @param maxWaitMicros time after which the list in force is used anyway
 */
public record EndpointListPending(long maxWaitMicros) implements PolicyEvent {}
