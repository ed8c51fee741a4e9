package loftflow.policy.api;

/** A restart has found a request whose end is decided, and has still to be heard. */
public record CompletionPending(MessageAccepted message) implements PolicyEvent {}
