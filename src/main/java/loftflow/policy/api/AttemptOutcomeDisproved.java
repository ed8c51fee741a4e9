package loftflow.policy.api;

/**
 * The outcome of an attempt that has ended is no longer proven: the attempt may have been executed.
 *
 * @param id the message
 * @param attempt the number of the attempt within its message, from 0
 */
public record AttemptOutcomeDisproved(long id, int attempt) implements PolicyEvent {}
