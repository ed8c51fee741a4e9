package loftflow.policy.api;

/**
 * A message was accepted and must get exactly one final answer.
 *
 * @param id unique among the messages of this relay
 * @param requestClass name of the message's class, one of those in the settings
 * @param tenant name of the tenant; may be null
 * @param key the ordering key; may be null
 * @param deadlineMicros time by which the message must have its final answer
 * @param destination number of the destination
 */
public record MessageAccepted(
        long id, String requestClass, String tenant, String key, long deadlineMicros, int destination)
        implements PolicyEvent {}
