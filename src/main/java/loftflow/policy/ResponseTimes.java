package loftflow.policy;

/**
 * Estimates the response time of a route as the exponentially weighted mean over its served calls, in microseconds. A
 * route that has not answered recently gets the initial estimate again, so that it is selected again.
 */
final class ResponseTimes {
    /** Estimate before the first answer. */
    static final long INITIAL_ESTIMATE_MICROS = 400_000;

    /** Weight of the latest call; the mean covers about the last five calls. */
    static final double LATEST_CALL_WEIGHT = 0.2;

    private static final long STALE_AFTER_MICROS = 5_000_000;

    private final RoundContext context;

    ResponseTimes(RoundContext context) {
        this.context = context;
    }

    void record(Route route, long elapsedMicros) {
        route.responseTimeMicros = route.responseTimeMicros == 0
                ? elapsedMicros
                : route.responseTimeMicros + LATEST_CALL_WEIGHT * (elapsedMicros - route.responseTimeMicros);
    }

    double expectedMicros(Route route) {
        boolean stale = route.callsInFlight.isEmpty() && context.now() - route.lastAnswerAtMicros > STALE_AFTER_MICROS;
        return route.responseTimeMicros == 0 || stale ? INITIAL_ESTIMATE_MICROS : route.responseTimeMicros;
    }
}
