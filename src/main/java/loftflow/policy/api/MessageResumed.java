package loftflow.policy.api;

import java.util.List;

/**
 * A message that was accepted before a restart is still owed its answer.
 *
 * @param attempts made before the restart, the first one first
 */
public record MessageResumed(MessageAccepted message, List<PastAttempt> attempts) implements PolicyEvent {}
