package loftflow.policy;

/**
 * Detects routes that are unresponsive before any call to them has failed. A call is overdue once it has been in flight
 * for several times the route's usual response time. A route is unresponsive if its oldest call is overdue and no call
 * sent since then has been answered. Times are in microseconds.
 */
final class OutlierDetector {
    /** Minimum time in flight of an overdue call. */
    private static final long MIN_OVERDUE_MICROS = 2_500_000;

    /** Multiple of the expected response time after which an answer is unlikely. */
    static final double OVERDUE_RATIO = 8;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    OutlierDetector(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** Returns when a call becomes overdue. */
    long overdueAt(Call call) {
        return call.sentAtMicros
                + (long) Math.max(MIN_OVERDUE_MICROS, OVERDUE_RATIO * responseTimes.expectedMicros(call.route));
    }

    /**
     * Returns whether the oldest call that no later answer accounts for has been in flight for a share of the time
     * after which it is overdue.
     *
     * @param share 1 if the call must be overdue
     */
    boolean isUnresponsive(Route route, double share) {
        for (Call call : route.callsInFlight) {
            // A call sent before one that was answered may still be in the destination's queue.
            if (call.sentAtMicros >= route.answeredCallSentAtMicros) {
                return context.now() - call.sentAtMicros >= share * (overdueAt(call) - call.sentAtMicros);
            }
        }
        return false;
    }

    /**
     * Returns whether several calls are in flight and the oldest has reached half the time after which it is overdue:
     * further calls would likely stay unanswered too.
     */
    boolean isSuspect(Route route) {
        return route.callsInFlight.size() >= 2 && isUnresponsive(route, 0.5);
    }
}
