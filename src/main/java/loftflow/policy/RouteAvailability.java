package loftflow.policy;

/**
 * Decides whether a message may be sent to a route now, and otherwise when. A route is usable if discovery lists it, no
 * Retry-After applies, its group is within the send rate limit and holds a permit if one is required, its circuits are
 * closed, it is not suspected of being unresponsive, and its group has a free call slot.
 */
final class RouteAvailability {
    private final RoundContext context;
    private final SendRateLimiter rateLimiter;
    private final OutlierDetector outliers;
    private final SendPermits permits;
    private final ConcurrencyLimiter concurrency;

    RouteAvailability(
            RoundContext context,
            SendRateLimiter rateLimiter,
            OutlierDetector outliers,
            SendPermits permits,
            ConcurrencyLimiter concurrency) {
        this.context = context;
        this.rateLimiter = rateLimiter;
        this.outliers = outliers;
        this.permits = permits;
        this.concurrency = concurrency;
    }

    /** Returns whether a message may be sent to the route now. */
    boolean isUsable(Route route) {
        LimitGroup group = route.group;
        return route.listed
                && context.now() >= group.retryNotBeforeMicros
                && rateLimiter.isDue(group)
                && permits.maySend(group)
                && route.circuit.isClosed()
                && group.circuit.isClosed()
                && !outliers.isSuspect(route)
                && !concurrency.isGroupAtLimit(route);
    }

    /**
     * Returns the time at which the route may next be used or probed if only time limits prevent it now, otherwise
     * {@link Long#MAX_VALUE}.
     */
    long nextUseAtMicros(Route route) {
        LimitGroup group = route.group;
        long at = Math.max(
                Math.max(group.nextSendAtMicros, group.retryNotBeforeMicros), permits.unrestrictedAtMicros(group));
        if (route.circuit.state == Circuit.State.OPEN) {
            at = Math.max(group.retryNotBeforeMicros, route.circuit.probeNotBeforeMicros);
        }
        if (group.circuit.state == Circuit.State.OPEN) {
            at = Math.max(group.retryNotBeforeMicros, group.circuit.probeNotBeforeMicros);
        }
        return at > context.now() ? at : Long.MAX_VALUE;
    }
}
