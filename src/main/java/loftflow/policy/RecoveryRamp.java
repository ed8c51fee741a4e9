package loftflow.policy;

/**
 * Limits the send rate to a group that has just recovered from an outage (slow start). A destination recovers with
 * reduced capacity and reaches its full capacity over the warm-up time of the service rules. If its load exceeds the
 * overload multiple of its current capacity in this time, it fails again; the ramp stays below that multiple. Rates are
 * calls per second of this relay.
 */
final class RecoveryRamp {
    /** Share of the overload multiple that is used, as a margin for random variation. */
    private static final double SAFETY_SHARE = 0.9;

    /** Minimum rate of all relays together, which applies if no other rate is known. */
    private static final double MIN_FLEET_RATE_PER_SECOND = 0.75;

    private final RoundContext context;
    private final KnownLimits limits;

    RecoveryRamp(RoundContext context, KnownLimits limits) {
        this.context = context;
        this.limits = limits;
    }

    /** Returns whether the group is warming up after an outage. */
    boolean isActive(LimitGroup group) {
        return context.now() - group.recoveredAtMicros
                < context.settings().rules().warmUpMicros();
    }

    /** Returns the multiple of its usual calls that a destination can take now if it recovered at a given time. */
    double sustainableShare(long recoveredAtMicros) {
        double warmUpShare = (context.now() - recoveredAtMicros)
                / (double) Math.max(1, context.settings().rules().warmUpMicros());
        double capacityShare = context.settings().rules().coldCapacityShare() * (1 - warmUpShare) + warmUpShare;
        return SAFETY_SHARE * context.settings().rules().overloadMultiple() * capacityShare;
    }

    /** Returns the maximum calls per second of this relay now if the group recovered at a given time. */
    double ratePerSecond(LimitGroup group, long recoveredAtMicros) {
        double usual = Math.max(
                group.usualRatePerSecond,
                limits.limitPerSecond(group) / context.settings().fleetSize());
        return Math.max(
                MIN_FLEET_RATE_PER_SECOND / context.settings().fleetSize(),
                sustainableShare(recoveredAtMicros) * usual);
    }

    /** Restarts the ramp after a failure during it, as the outage may continue. */
    void restartIfActive(LimitGroup group) {
        if (isActive(group)) {
            group.recoveredAtMicros = context.now();
        }
    }
}
