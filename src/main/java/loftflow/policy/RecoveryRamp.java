package loftflow.policy;

/**
 * How fast may this relay send to a group that has just recovered from an outage (slow start)? A destination returns
 * cold and reaches its full capacity over the warm-up time of the service rules; sent more than the overload multiple
 * of what it can take meanwhile, it fails again. The ramp stays below that multiple. Rates are calls a second of this
 * relay.
 */
final class RecoveryRamp {
    /** Share of the overload multiple that is used, to leave room for chance. */
    private static final double SAFETY_SHARE = 0.9;

    /** The rate of all relays together where nothing else is known. */
    private static final double MIN_FLEET_RATE_PER_SECOND = 0.75;

    private final RoundContext context;
    private final KnownLimits limits;

    RecoveryRamp(RoundContext context, KnownLimits limits) {
        this.context = context;
        this.limits = limits;
    }

    /** True while the group warms up. */
    boolean isActive(LimitGroup group) {
        return context.now() - group.recoveredAtMicros
                < context.settings().rules().warmUpMicros();
    }

    /** The multiple of its usual calls that a destination can take now, having recovered at a time. */
    double sustainableShare(long recoveredAtMicros) {
        double warm = (context.now() - recoveredAtMicros)
                / (double) Math.max(1, context.settings().rules().warmUpMicros());
        double capacityShare = context.settings().rules().coldCapacityShare() * (1 - warm) + warm;
        return SAFETY_SHARE * context.settings().rules().overloadMultiple() * capacityShare;
    }

    /** The most calls a second for this relay now, the group having recovered at a time. */
    double ratePerSecond(LimitGroup group, long recoveredAtMicros) {
        double usual = Math.max(
                group.usualRatePerSecond,
                limits.limitPerSecond(group) / context.settings().fleetSize());
        return Math.max(
                MIN_FLEET_RATE_PER_SECOND / context.settings().fleetSize(),
                sustainableShare(recoveredAtMicros) * usual);
    }

    /** A failure during the ramp restarts it, as the outage may go on. */
    void restartIfActive(LimitGroup group) {
        if (isActive(group)) {
            group.recoveredAtMicros = context.now();
        }
    }
}
