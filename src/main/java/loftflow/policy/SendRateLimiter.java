package loftflow.policy;

/**
 * How fast may this relay send to a limit group? No limit applies until the group rejects a call. Then the rate is cut
 * to this relay's share of the group's limit, or, where the limit is unknown, to what was served, and grows again with
 * every served call. Where destinations report how much of their limit is left, that report steers growth and cuts
 * instead. Rates are calls a second of this relay.
 */
final class SendRateLimiter {
    /** Assumed for all relays together where no limit is known. */
    static final double MIN_FLEET_RATE_PER_SECOND = 3;

    /** Less than this share of the limit left: it is used up faster than it is replenished. */
    static final double SCARCE_REMAINING_SHARE = 0.5;

    /** Rejections so soon after a cut answer calls that were sent before it. */
    static final long MIN_CUT_INTERVAL_MICROS = 500_000;

    /** Growth of the rate in a second while calls are served. */
    private static final double GROWTH_PER_SECOND = 0.1;

    /** Growth in a second where a report says that all of the limit is left. */
    private static final double REPORTED_GROWTH_PER_SECOND = 0.3;

    /** One served call accounts for no more growth than that of this time. */
    private static final long MAX_GROWTH_WINDOW_MICROS = 5_000_000;

    private static final double REJECTION_CUT = 0.5;

    /** Gentler than after a rejection, as none has occurred yet. */
    private static final double SCARCITY_CUT = 0.9;

    /** Rounds are no longer than this where the relay has CPU time. */
    private static final long MAX_ROUND_MICROS = 10_000;

    private final RoundContext context;
    private final LimitEstimator limits;
    private final RecoveryRamp ramp;

    SendRateLimiter(RoundContext context, LimitEstimator limits, RecoveryRamp ramp) {
        this.context = context;
        this.limits = limits;
        this.ramp = ramp;
    }

    /** A call leaves now: the next one is due an interval later; a slow round may catch up what it missed. */
    void onSent(LimitGroup group) {
        long earliest = Math.max(group.nextSendAtMicros, context.now() - MAX_ROUND_MICROS);
        group.nextSendAtMicros = earliest + RoundContext.intervalMicros(effectiveRate(group));
    }

    private double effectiveRate(LimitGroup group) {
        return ramp.isActive(group)
                ? Math.min(group.sendRatePerSecond, ramp.ratePerSecond(group, group.recoveredAtMicros))
                : group.sendRatePerSecond;
    }

    /**
     * A destination reported its limit: in a large fleet the rate follows it, as this relay rarely sees a rejection.
     */
    void onLimitReported(LimitGroup group, double limitPerSecond) {
        if (context.isLargeFleet() && group.reportedLimitPerSecond > 0) {
            group.sendRatePerSecond *= limitPerSecond / group.reportedLimitPerSecond;
        }
        group.reportedLimitPerSecond = limitPerSecond;
    }

    /**
     * A call was served.
     *
     * @param remainingShare of the limit, as reported with the answer; NaN where it was not
     */
    void onServed(LimitGroup group, double remainingShare) {
        if (context.isLargeFleet() && remainingShare < SCARCE_REMAINING_SHARE) {
            cutBeforeRejection(group);
        } else if (context.isLargeFleet() && remainingShare >= SCARCE_REMAINING_SHARE) {
            growAsReported(group, remainingShare);
        } else if (group.probingForCapacity) {
            long sinceGrowth = context.now() - group.lastGrowthAtMicros;
            group.sendRatePerSecond *= Math.pow(2, Math.min(1, sinceGrowth / (double) MIN_CUT_INTERVAL_MICROS));
        } else {
            group.sendRatePerSecond *= growthSince(group.lastGrowthAtMicros);
        }
        group.lastGrowthAtMicros = context.now();
    }

    /**
     * Rejected calls may use up the limit too, so a fleet that grows until it is rejected might never be served again.
     */
    private void cutBeforeRejection(LimitGroup group) {
        if (context.now() - group.lastCutAtMicros >= MIN_CUT_INTERVAL_MICROS) {
            group.lastCutAtMicros = context.now();
            double sent = group.sentCalls.extrapolatedRatePerSecond(context.now());
            group.sendRatePerSecond =
                    Math.max(fairShare(group), Math.min(group.sendRatePerSecond, sent) * SCARCITY_CUT);
        }
    }

    /** A report describes all relays, and the whole time since this one was served last. */
    private void growAsReported(LimitGroup group, double remainingShare) {
        double spare = (remainingShare - SCARCE_REMAINING_SHARE) / (1 - SCARCE_REMAINING_SHARE);
        double seconds = (context.now() - group.lastGrowthAtMicros) / (double) RoundContext.MICROS_PER_SECOND;
        double growth = Math.pow(1 + REPORTED_GROWTH_PER_SECOND * spare, seconds);
        group.sendRatePerSecond = Math.max(fairShare(group), group.sendRatePerSecond * growth);
    }

    /** The factor by which a rate grows from a time until now. */
    double growthSince(long sinceMicros) {
        long window = Math.min(MAX_GROWTH_WINDOW_MICROS, context.now() - sinceMicros);
        return Math.pow(1 + GROWTH_PER_SECOND, window / (double) RoundContext.MICROS_PER_SECOND);
    }

    /** A call was rejected: cuts the rate once for all rejections of calls that were sent before the cut. */
    void onRejected(LimitGroup group, long callSentAtMicros) {
        if (callSentAtMicros >= group.lastCutAtMicros
                && context.now() - group.lastCutAtMicros >= MIN_CUT_INTERVAL_MICROS) {
            cut(group);
        }
        long earliest = Math.max(context.now(), group.retryNotBeforeMicros);
        long interval = RoundContext.intervalMicros(group.sendRatePerSecond);
        group.nextSendAtMicros = Math.max(group.nextSendAtMicros, earliest + context.withJitter(interval));
    }

    /**
     * Cuts to a share that lets a relay with a burst send it, as few relays have one at a time. Where the limit is
     * known, a rate above what this relay really sends is first cut to that, or many cuts would change nothing.
     */
    private void cut(LimitGroup group) {
        group.lastCutAtMicros = context.now();
        group.lastGrowthAtMicros = context.now();
        int fleetSize = context.settings().fleetSize();
        double senders = Math.min(RoundContext.ASSUMED_SENDERS, fleetSize);
        double burstShare = fairShare(group) * fleetSize / senders;
        double limit = limits.limitPerSecond(group);
        if (limit > 0) {
            double sent = group.sentCalls.extrapolatedRatePerSecond(context.now());
            burstShare = Math.max(fairShare(group), Math.min(burstShare, sent * REJECTION_CUT));
        }
        boolean unlimited = group.sendRatePerSecond == Double.POSITIVE_INFINITY;
        group.probingForCapacity = limit == 0 && unlimited;
        group.sendRatePerSecond = unlimited
                ? Math.max(burstShare, group.servedCalls.ratePerSecond(context.now()) / 2)
                : Math.max(fairShare(group), group.sendRatePerSecond * REJECTION_CUT);
    }

    /**
     * True where the rate is above this relay's share, so that a rejection may only mean that the limit is exceeded.
     */
    boolean exceedsFairShare(LimitGroup group) {
        return group.sendRatePerSecond > fairShare(group);
    }

    /**
     * This relay's share of the group's limit: an equal one, or in a large fleet what its own clients need, as far as
     * even a cold destination can take it. Counted in calls: where a call carries several messages, as many as full
     * calls need.
     */
    private double fairShare(LimitGroup group) {
        double limit = limits.limitPerSecond(group);
        double equalShare = (limit > 0 ? limit : MIN_FLEET_RATE_PER_SECOND)
                / context.settings().fleetSize();
        if (!context.isLargeFleet() || limit == 0) {
            return equalShare;
        }
        Route first = group.routes.get(0);
        Destination destination = first.destination;
        long groups = destination.routes.values().stream()
                .map(route -> route.group)
                .distinct()
                .count();
        double needed = destination.arrivals.extrapolatedRatePerSecond(context.now()) / groups;
        if (first.maxBatchSize > 1 && destination.arrivals.isSignificant(context.now())) {
            // Relays with few messages would otherwise spend the limit on calls that carry one each.
            return Math.max(equalShare, needed) / first.maxBatchSize;
        }
        double sustainable = Math.min(1, ramp.sustainableShare(context.now()));
        return Math.max(equalShare, sustainable * needed / first.maxBatchSize);
    }
}
