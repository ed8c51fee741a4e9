package loftflow.policy;

/**
 * Which route is unresponsive though no call to it has failed yet? A call is overdue once it has been out for several
 * times the route's usual response time; a route is unresponsive when its oldest call is overdue and nothing sent since
 * was answered. Times are microseconds.
 */
final class OutlierDetector {
    /** No call is overdue earlier than this. */
    private static final long MIN_OVERDUE_MICROS = 2_500_000;

    /** Multiple of the expected response time after which an answer is unlikely. */
    static final double OVERDUE_RATIO = 8;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    OutlierDetector(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** When a call becomes overdue. */
    long overdueAt(Call call) {
        return call.sentAtMicros
                + (long) Math.max(MIN_OVERDUE_MICROS, OVERDUE_RATIO * responseTimes.expectedMicros(call.route));
    }

    /**
     * True where the oldest call that a later answer does not account for has been out for a share of its time to
     * become overdue; 1 means that it is overdue.
     */
    boolean isUnresponsive(Route route, double share) {
        for (Call call : route.callsInFlight) {
            // A call sent before one that was answered may still stand in the destination's queue.
            if (call.sentAtMicros >= route.answeredCallSentAtMicros) {
                return context.now() - call.sentAtMicros >= share * (overdueAt(call) - call.sentAtMicros);
            }
        }
        return false;
    }

    /** True where several calls are out and an answer is half overdue: further calls would likely hang too. */
    boolean isSuspect(Route route) {
        return route.callsInFlight.size() >= 2 && isUnresponsive(route, 0.5);
    }
}
