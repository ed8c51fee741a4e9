package loftflow.policy.api;

/**
 * Figures of the service rules, which bind every relay.
 *
 * @param completionSlackMicros how long after its deadline a message may still get its answer
 * @param drainGraceMicros how long after a drain notice calls to the endpoint may still begin
 * @param overloadMultiple of its capacity at the moment that makes a recovering destination fail again; above 0
 * @param overloadWindowMicros for how long it has to be exceeded
 * @param coldCapacityShare share of its capacity with which a destination returns from an outage
 * @param warmUpMicros until it has its full capacity again
 * @param watchRenewalMicros within which a subscription to the endpoint list has to be renewed
 * @param orderingPauseMicros how long an ordering key pauses after an attempt of unknown outcome; 0 where no class is
 *     ordered
 */
public record ServiceRules(
        long completionSlackMicros,
        long drainGraceMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        double coldCapacityShare,
        long warmUpMicros,
        long watchRenewalMicros,
        long orderingPauseMicros) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException where one is out of its bounds
     */
    public ServiceRules {
        Preconditions.require(
                drainGraceMicros >= 0 && overloadWindowMicros >= 0 && warmUpMicros >= 0,
                "drainGrace, overloadWindow and warmUp: must not be negative");
        Preconditions.require(orderingPauseMicros >= 0, "orderingPause: must not be negative");
    }
}
