package loftflow.policy.api;

import java.util.List;

/** A request that was accepted before a restart is owed its answer still. */
public record MessageResumed(MessageAccepted message, List<PastAttempt> attempts) implements PolicyEvent {}
