package loftflow.policy.api;

/**
 * A message finished before a restart, and its completion notice is not acknowledged yet: later messages of its
 * ordering key wait for {@link CompletionAcknowledged}.
 */
public record CompletionPending(MessageAccepted message) implements PolicyEvent {}
