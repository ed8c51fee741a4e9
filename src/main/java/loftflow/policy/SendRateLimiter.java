package loftflow.policy;

/**
 * Limits the rate at which this relay sends to a limit group. No limit applies until the group rejects a call. The rate
 * is then cut to this relay's share of a burst or to half of the served rate, and later rejections halve it. It grows
 * by a tenth per second while calls are served; after a first cut without a known limit it doubles until the next
 * rejection, to probe for capacity. If destinations report how much of their limit remains, a large fleet bases growth
 * and cuts on these reports. Rates are calls per second of this relay.
 */
final class SendRateLimiter {
    /** Limit assumed for all relays together if none is known. */
    static final double ASSUMED_FLEET_LIMIT_PER_SECOND = 3;

    /** Remaining share of the limit below which the limit is used up faster than it is replenished. */
    static final double SCARCE_REMAINING_SHARE = 0.5;

    /** Minimum time between two cuts; rejections within it answer calls sent before the cut. */
    static final long MIN_CUT_INTERVAL_MICROS = 500_000;

    /** Growth of the rate per second while calls are served. */
    private static final double GROWTH_PER_SECOND = 0.1;

    /** Growth per second if a report says that the whole limit remains. */
    private static final double REPORTED_GROWTH_PER_SECOND = 0.3;

    /** Growth factor while probing for capacity, reached over at least {@link #PROBING_GROWTH_INTERVAL_MICROS}. */
    private static final double PROBING_GROWTH_FACTOR = 2;

    private static final long PROBING_GROWTH_INTERVAL_MICROS = 500_000;

    /** Maximum time whose growth one served call accounts for. */
    private static final long MAX_GROWTH_WINDOW_MICROS = 5_000_000;

    /** Factor on the rate after a rejection. */
    private static final double RATE_FACTOR_AFTER_REJECTION = 0.5;

    /** Factor on the rate while the limit is scarce; closer to 1, because no rejection has occurred yet. */
    private static final double RATE_FACTOR_WHEN_SCARCE = 0.9;

    /** Maximum time between rounds if the relay is not short of CPU time. */
    private static final long MAX_ROUND_MICROS = 10_000;

    private final RoundContext context;
    private final KnownLimits limits;
    private final RecoveryRamp ramp;

    SendRateLimiter(RoundContext context, KnownLimits limits, RecoveryRamp ramp) {
        this.context = context;
        this.limits = limits;
        this.ramp = ramp;
    }

    /** Returns whether the rate allows a call to be sent now. */
    boolean isDue(LimitGroup group) {
        return context.now() >= group.nextSendAtMicros;
    }

    /**
     * Schedules the next call one interval after the call sent now; after a slow round, calls may catch up on at most
     * {@link #MAX_ROUND_MICROS}.
     */
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
     * Handles a limit reported by the destination. In a large fleet the rate changes in proportion to it, as this relay
     * rarely receives a rejection.
     */
    void onLimitReported(LimitGroup group, double limitPerSecond) {
        if (context.isLargeFleet() && group.reportedLimitPerSecond > 0) {
            group.sendRatePerSecond *= limitPerSecond / group.reportedLimitPerSecond;
        }
        group.reportedLimitPerSecond = limitPerSecond;
    }

    /**
     * Handles a served call.
     *
     * @param remainingShare remaining share of the limit, as reported with the answer; NaN if not reported
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
     * Cuts the rate before any rejection. Rejected calls may use up the limit too, so a fleet that grows until it is
     * rejected might never be served again.
     */
    private void cutBeforeRejection(LimitGroup group) {
        if (context.now() - group.lastCutAtMicros >= MIN_CUT_INTERVAL_MICROS) {
            group.lastCutAtMicros = context.now();
            double sent = group.sentCalls.extrapolatedRatePerSecond(context.now());
            group.sendRatePerSecond =
                    Math.max(fairShare(group), Math.min(group.sendRatePerSecond, sent) * RATE_FACTOR_WHEN_SCARCE);
        }
    }

    /**
     * Grows the rate by the reported remaining share. Unlike a served call, a report describes all relays and the whole
     * time since this relay was last served, so the growth is not limited in time.
     */
    private void growAsReported(LimitGroup group, double remainingShare) {
        double spare = (remainingShare - SCARCE_REMAINING_SHARE) / (1 - SCARCE_REMAINING_SHARE);
        double seconds = (context.now() - group.lastGrowthAtMicros) / (double) RoundContext.MICROS_PER_SECOND;
        double growth = Math.pow(1 + REPORTED_GROWTH_PER_SECOND * spare, seconds);
        group.sendRatePerSecond = Math.max(fairShare(group), group.sendRatePerSecond * growth);
    }

    /** Returns the factor by which a rate grows from a given time until now. */
    double growthSince(long sinceMicros) {
        long window = Math.min(MAX_GROWTH_WINDOW_MICROS, context.now() - sinceMicros);
        return Math.pow(1 + GROWTH_PER_SECOND, window / (double) RoundContext.MICROS_PER_SECOND);
    }

    /** Handles a rejected call: cuts the rate once for all rejections of calls that were sent before the cut. */
    void onRejected(LimitGroup group, long callSentAtMicros) {
        if (callSentAtMicros >= group.lastCutAtMicros
                && context.now() - group.lastCutAtMicros >= MIN_CUT_INTERVAL_MICROS) {
            cut(group);
        }
        long earliest = Math.max(context.now(), group.retryNotBeforeMicros);
        long interval = RoundContext.intervalMicros(group.sendRatePerSecond);
        group.nextSendAtMicros = Math.max(group.nextSendAtMicros, earliest + context.withJitter(interval));
    }

    /** Cuts an unlimited rate to an estimate of what the group may take, and halves a limited one. */
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
     * Returns the rate after the first rejection: a share that lets a relay send a burst, as few relays have one at the
     * same time, or half of the recently served rate, whichever is higher. If the limit is known, that share is reduced
     * to half of this relay's actual send rate, since the cut might otherwise change nothing.
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
     * Returns whether the rate is above this relay's share, so that a rejection may only mean that the limit is
     * exceeded.
     */
    boolean exceedsFairShare(LimitGroup group) {
        return group.sendRatePerSecond > fairShare(group);
    }

    /**
     * Returns this relay's share of the group's limit: an equal share, or in a large fleet the rate that its own
     * clients need, as far as even a cold destination can take it. The share is in calls: if a call may carry several
     * messages, it is the number of full calls that are needed.
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
            // Otherwise relays with few messages would use up the limit with calls that carry one message each.
            return Math.max(equalShare, needed) / first.maxBatchSize;
        }
        double sustainable = Math.min(1, ramp.sustainableShare(context.now()));
        return Math.max(equalShare, sustainable * needed / first.maxBatchSize);
    }
}
