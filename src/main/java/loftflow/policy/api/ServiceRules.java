package loftflow.policy.api;

/**
 * Parameters of the service rules, which apply to every relay.
 *
 * @param completionSlackMicros how long after its deadline a message may still get its final answer
 * @param drainGraceMicros how long after a drain notice new calls to the endpoint may still start
 * @param overloadMultiple a recovering destination fails again if its load exceeds this multiple of its current
 *     capacity; above 0
 * @param overloadWindowMicros how long that load must last
 * @param coldCapacityShare share of its capacity that a destination has at the end of an outage
 * @param warmUpMicros time from then until the destination has its full capacity
 * @param watchRenewalMicros maximum time between renewals of a subscription to the endpoint list
 * @param orderingPauseMicros how long an ordering key pauses after an attempt of unknown outcome; 0 if no class is
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
     * Validates the parameters.
     *
     * @throws IllegalArgumentException if a parameter is out of bounds
     */
    public ServiceRules {
        Preconditions.require(
                drainGraceMicros >= 0 && overloadWindowMicros >= 0 && warmUpMicros >= 0,
                "drainGrace, overloadWindow and warmUp: must not be negative");
        Preconditions.require(orderingPauseMicros >= 0, "orderingPause: must not be negative");
    }
}
