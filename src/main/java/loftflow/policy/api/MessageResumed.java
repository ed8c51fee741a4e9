package loftflow.policy.api;

import java.util.List;

/**
 * A message accepted before a restart still needs its final answer.
 *
 * @param attempts attempts made before the restart, oldest first
 */
public record MessageResumed(MessageAccepted message, List<PastAttempt> attempts) implements PolicyEvent {}
