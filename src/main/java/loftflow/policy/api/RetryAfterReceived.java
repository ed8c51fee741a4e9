package loftflow.policy.api;

/**
 * A destination sent a Retry-After; the call that received it may have ended or may continue.
 *
 * @param retryAfterMicros duration from now
 */
public record RetryAfterReceived(String route, long retryAfterMicros) implements PolicyEvent {}
