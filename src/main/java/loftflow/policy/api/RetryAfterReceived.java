package loftflow.policy.api;

/** A route has told this relay to wait; the call that was told so may be over, or go on. */
public record RetryAfterReceived(String route, long retryAfterMicros) implements PolicyEvent {}
