package loftflow.policy.api;

/**
 * A timer fired.
 *
 * @param timer the name given to {@link PolicyActions#setTimer}
 */
public record TimerFired(long timer) implements PolicyEvent {}
