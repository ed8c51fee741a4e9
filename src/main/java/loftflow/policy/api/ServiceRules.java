package loftflow.policy.api;

/** Figures of the rules; {@code orderPause} is 0 where no order is asked for. */
public record ServiceRules(
        long completionSlackMicros,
        long drainGraceMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        double coldCapacityShare,
        long warmUpMicros,
        long watchRenewalMicros,
        long orderingPauseMicros) {
    public ServiceRules {
        Preconditions.require(
                drainGraceMicros >= 0 && overloadWindowMicros >= 0 && warmUpMicros >= 0,
                "spans of the rules: must not be negative");
        Preconditions.require(orderingPauseMicros >= 0, "orderPause: must not be negative");
    }
}
