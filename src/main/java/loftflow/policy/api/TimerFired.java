package loftflow.policy.api;

/** A timer set by {@link PolicyActions#setTimer} fell due. */
public record TimerFired(long timer) implements PolicyEvent {}
