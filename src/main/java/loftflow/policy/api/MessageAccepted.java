package loftflow.policy.api;

/** A request was accepted and is owed one final answer. {@code tenant} and {@code key} may be null. */
public record MessageAccepted(
        long id, String requestClass, String tenant, String key, long deadlineMicros, int destination)
        implements PolicyEvent {}
