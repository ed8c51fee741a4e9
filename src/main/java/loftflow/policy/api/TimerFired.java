package loftflow.policy.api;

/**
 * A timer fired.
 *
 * @param timer id passed to {@link PolicyActions#setTimer}
 */
public record TimerFired(long timer) implements PolicyEvent {}
