package loftflow.policy.api;

/**
 * A message was accepted and is owed one final answer.
 *
 * @param id unique among the messages of this relay
 * @param requestClass the name of its class, one of the settings'
 * @param tenant may be null
 * @param key the ordering key; may be null
 * @param deadlineMicros when it has to have its answer
 * @param destination the number of its destination
 */
public record MessageAccepted(
        long id, String requestClass, String tenant, String key, long deadlineMicros, int destination)
        implements PolicyEvent {}
