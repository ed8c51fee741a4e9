package loftflow.policy.api;

/**
 * What this relay may do.
 *
 * @param maxConcurrentCalls calls in flight at once, 1 or more
 * @param maxOpenMessages messages that are owed an answer at once, 1 or more
 * @param maxAttempts for one message, 1 or more
 * @param cancellation attempts may be cancelled
 * @param probes health checks may be sent
 * @param peerMessages relays of a fleet may send messages to each other
 * @param hedgedAttempts a second attempt may be made while the first is in flight; the default policy makes none
 * @param retryAfter a rejected client is given a Retry-After
 * @param connectTimeoutMicros 0 where the settings name none
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
     * Checks the limits.
     *
     * @throws IllegalArgumentException where one is out of its bounds
     */
    public RelayLimits {
        Preconditions.require(
                maxConcurrentCalls > 0, "maxConcurrentCalls: " + maxConcurrentCalls + ", must be above 0");
        Preconditions.require(maxOpenMessages > 0, "maxOpenMessages: " + maxOpenMessages + ", must be above 0");
        Preconditions.require(maxAttempts > 0, "maxAttempts: " + maxAttempts + ", must be above 0");
    }
}
