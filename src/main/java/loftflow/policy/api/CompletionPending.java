package loftflow.policy.api;

/**
 * A restart found a message that is finished, while the notification of that is not acknowledged: later messages of its
 * ordering key wait for {@link CompletionAcknowledged}.
 */
public record CompletionPending(MessageAccepted message) implements PolicyEvent {}
