package loftflow.policy.api;

/**
 * Limits and capabilities of this relay.
 *
 * @param maxConcurrentCalls maximum number of calls in flight, 1 or more
 * @param maxOpenMessages maximum number of messages without a final answer, 1 or more
 * @param maxAttempts maximum number of attempts per message, 1 or more
 * @param cancellation attempts may be cancelled
 * @param probes health checks may be sent
 * @param peerMessages relays of a fleet may send messages to each other
 * @param hedgedAttempts a message may have two attempts outstanding if its class allows it too ({@link HedgingRule})
 * @param retryAfter a rejected client receives a Retry-After
 * @param connectTimeoutMicros connect timeout; 0 if the settings specify none
 */
public record RelayLimits(
        int maxConcurrentCalls,
        int maxOpenMessages,
        int maxAttempts,
        boolean cancellation,
        boolean probes,
        boolean peerMessages,
        boolean hedgedAttempts,
        boolean retryAfter,
        long connectTimeoutMicros) {
    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a limit is out of bounds
     */
    public RelayLimits {
        Preconditions.require(
                maxConcurrentCalls > 0, "maxConcurrentCalls: " + maxConcurrentCalls + ", must be above 0");
        Preconditions.require(maxOpenMessages > 0, "maxOpenMessages: " + maxOpenMessages + ", must be above 0");
        Preconditions.require(maxAttempts > 0, "maxAttempts: " + maxAttempts + ", must be above 0");
    }
}
