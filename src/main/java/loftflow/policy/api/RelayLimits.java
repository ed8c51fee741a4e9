package loftflow.policy.api;

/** What this relay is allowed. */
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
    public RelayLimits {
        Preconditions.require(maxConcurrentCalls > 0, "callSlots: must be above 0");
        Preconditions.require(maxOpenMessages > 0, "maxOpen: must be above 0");
        Preconditions.require(maxAttempts > 0, "maxAttempts: must be above 0");
    }
}
