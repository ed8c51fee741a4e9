package loftflow.policy;

import loftflow.policy.api.Zone;

/**
 * Scores routes from 0 to about 130 points (see docs/design.md): a full score, reduced for errors, consecutive failures
 * and slow answers, and increased for quick answers and for a near or cheap zone.
 */
final class RouteScorer {
    /** Response time above which a route is slow. */
    static final long SLOW_RESPONSE_MICROS = 5_000_000;

    private static final double FULL_SCORE = 100;
    private static final double ERROR_RATE_PENALTY = 50;
    private static final double UNHEALTHY_PENALTY = 50;
    private static final double FAILURE_PENALTY = 10;
    private static final double SLOW_PENALTY = 30;
    private static final double QUICK_BONUS = 20;
    private static final long QUICK_RESPONSE_MICROS = 1_000_000;

    /** Multiple of the destination's best response time above which a route is slow too. */
    private static final double SLOW_RATIO = 3;

    /** Small, so that locality decides only between routes of about equal quality. */
    private static final double LOCALITY_BONUS = 8;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    RouteScorer(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** Returns the score of a route, given the best expected response time among the candidates. */
    double score(Route route, double bestResponseMicros) {
        double response = responseTimes.expectedMicros(route);
        double maxRelativeResponse = SLOW_RATIO * Math.max(ResponseTimes.INITIAL_ESTIMATE_MICROS, bestResponseMicros);
        double score =
                FULL_SCORE - route.errorRate * ERROR_RATE_PENALTY - route.circuit.consecutiveFailures * FAILURE_PENALTY;
        score -= route.errorRate > CircuitBreaker.MAX_ERROR_RATE ? UNHEALTHY_PENALTY : 0;
        score += response < QUICK_RESPONSE_MICROS ? QUICK_BONUS : 0;
        score -= response > Math.min(SLOW_RESPONSE_MICROS, maxRelativeResponse) ? SLOW_PENALTY : 0;
        return Math.max(0, score + route.localityBonus);
    }

    /** Returns the bonus of a zone: by cost if zones have costs, otherwise a fixed bonus for this relay's own zone. */
    double localityBonus(String zoneName) {
        double highestCost = context.settings().zones().stream()
                .mapToDouble(Zone::cost)
                .max()
                .orElse(0);
        if (highestCost > 0) {
            double cost = context.settings().zones().stream()
                    .filter(zone -> zone.name().equals(zoneName))
                    .mapToDouble(Zone::cost)
                    .findFirst()
                    .orElse(highestCost);
            return LOCALITY_BONUS * (1 - cost / highestCost);
        }
        return zoneName.equals(context.settings().zone()) ? LOCALITY_BONUS : 0;
    }
}
