package loftflow.policy.api;

/** The client gave the request up. */
public record MessageWithdrawn(long id) implements PolicyEvent {}
