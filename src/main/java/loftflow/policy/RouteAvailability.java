package loftflow.policy;

/**
 * May a message be sent to a route now, and if not, when? A route is usable while discovery lists it, no Retry-After
 * applies, its group is within the send rate limit and holds a permit where one is required, circuits are closed, it is
 * not suspected to be unresponsive, and its group has a free call slot.
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

    /** True where a message may be sent to the route now. */
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

    /** When the route may be used or probed next, if only time stands in the way; else {@link Long#MAX_VALUE}. */
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
