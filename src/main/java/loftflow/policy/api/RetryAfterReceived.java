package loftflow.policy.api;

/**
 * A destination asked to be left alone; the call that it answered may be over or go on.
 *
 * @param retryAfterMicros for how long, from now
 */
public record RetryAfterReceived(String route, long retryAfterMicros) implements PolicyEvent {}
