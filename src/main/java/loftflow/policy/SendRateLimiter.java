package loftflow.policy;

/**
 * How fast may this relay send to a limit group? No limit applies until the group rejects a call. Then the rate is cut,
 * to this relay's share of a burst or to half of what was served, and is halved by later rejections. It grows by a
 * tenth a second while calls are served; after a first cut without a known limit it is doubled until the next
 * rejection, to probe for capacity. Where destinations report how much of their limit is left, a large fleet lets that
 * report steer growth and cuts. Rates are calls a second of this relay.
 */
final class SendRateLimiter {
    /** Assumed for all relays together where no limit is known. */
    static final double ASSUMED_FLEET_LIMIT_PER_SECOND = 3;

    /** Less than this share of the limit left: it is used up faster than it is replenished. */
    static final double SCARCE_REMAINING_SHARE = 0.5;

    /** Rejections so soon after a cut answer calls that were sent before it. */
    static final long MIN_CUT_INTERVAL_MICROS = 500_000;

    /** Growth of the rate in a second while calls are served. */
    private static final double GROWTH_PER_SECOND = 0.1;

    /** Growth in a second where a report says that all of the limit is left. */
    private static final double REPORTED_GROWTH_PER_SECOND = 0.3;

    /** Growth while probing for capacity, over {@link #PROBING_GROWTH_INTERVAL_MICROS} at the least. */
    private static final double PROBING_GROWTH_FACTOR = 2;

    private static final long PROBING_GROWTH_INTERVAL_MICROS = 500_000;

    /** One served call accounts for no more growth than that of this time. */
    private static final long MAX_GROWTH_WINDOW_MICROS = 5_000_000;

    /** The rate is multiplied by this after a rejection. */
    private static final double RATE_FACTOR_AFTER_REJECTION = 0.5;

    /** The rate is multiplied by this while the limit is scarce; gentler, as no rejection has occurred yet. */
    private static final double RATE_FACTOR_WHEN_SCARCE = 0.9;

    /** Rounds are no longer than this where the relay has CPU time. */
    private static final long MAX_ROUND_MICROS = 10_000;

    private final RoundContext context;
    private final KnownLimits limits;
    private final RecoveryRamp ramp;

    SendRateLimiter(RoundContext context, KnownLimits limits, RecoveryRamp ramp) {
        this.context = context;
        this.limits = limits;
        this.ramp = ramp;
    }

    /** True where the rate lets a call leave now. */
    boolean isDue(LimitGroup group) {
        return context.now() >= group.nextSendAtMicros;
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
            group.sendRatePerSecond *=
                    Math.pow(PROBING_GROWTH_FACTOR, Math.min(1, sinceGrowth / (double) PROBING_GROWTH_INTERVAL_MICROS));
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
                    Math.max(fairShare(group), Math.min(group.sendRatePerSecond, sent) * RATE_FACTOR_WHEN_SCARCE);
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

    /** The first cut of an unlimited rate starts from what the group may take; later ones halve the rate. */
    private void cut(LimitGroup group) {
        group.lastCutAtMicros = context.now();
        group.lastGrowthAtMicros = context.now();
        boolean unlimited = group.sendRatePerSecond == Double.POSITIVE_INFINITY;
        group.probingForCapacity = unlimited && limits.limitPerSecond(group) == 0;
        group.sendRatePerSecond = unlimited
                ? rateAfterFirstRejection(group)
                : Math.max(fairShare(group), group.sendRatePerSecond * RATE_FACTOR_AFTER_REJECTION);
    }

    /**
     * A share that lets a relay with a burst send it, as few relays have one at a time, or half of what was served
     * lately, whichever is higher. Where the limit is known, the share is held to half of what this relay really sends,
     * or the cut might change nothing.
     */
    private double rateAfterFirstRejection(LimitGroup group) {
        int fleetSize = context.settings().fleetSize();
        double senders = Math.min(RoundContext.ASSUMED_SENDERS, fleetSize);
        double burstShare = fairShare(group) * fleetSize / senders;
        if (limits.limitPerSecond(group) > 0) {
            double sent = group.sentCalls.extrapolatedRatePerSecond(context.now());
            burstShare = Math.max(fairShare(group), Math.min(burstShare, sent * RATE_FACTOR_AFTER_REJECTION));
        }
        return Math.max(burstShare, group.servedCalls.ratePerSecond(context.now()) / 2);
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
        double equalShare = (limit > 0 ? limit : ASSUMED_FLEET_LIMIT_PER_SECOND)
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
