package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the route of a message by a random draw among the usable routes whose score is near the best, with
 * probabilities in proportion to their scores. Avoids the route of the previous attempt if there is another.
 */
final class RouteSelector {
    /** Maximum distance from the best score, in points, of a route that takes part in the draw. */
    private static final double NEAR_BEST_POINTS = 20;

    private final RoundContext context;
    private final ResponseTimes responseTimes;
    private final RouteScorer scorer;
    private final RetryPolicy retryPolicy;

    RouteSelector(RoundContext context, ResponseTimes responseTimes, RouteScorer scorer, RetryPolicy retryPolicy) {
        this.context = context;
        this.responseTimes = responseTimes;
        this.scorer = scorer;
        this.retryPolicy = retryPolicy;
    }

    /** Selects a route; at least one of {@code usable} must be allowed for the message. */
    Route select(PendingMessage message, List<Route> usable) {
        List<Route> candidates = new ArrayList<>(usable);
        candidates.removeIf(route -> !retryPolicy.isAllowed(message, route));
        if (candidates.size() > 1) {
            candidates.remove(message.lastRoute());
        }
        return draw(candidates);
    }

    private Route draw(List<Route> candidates) {
        double[] weights = scores(candidates);
        double best = 0;
        for (double score : weights) {
            best = Math.max(best, score);
        }
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = weights[i] < best - NEAR_BEST_POINTS ? 0 : weights[i] + 1;
            sum += weights[i];
        }
        double point = context.nextRandom() * sum;
        int drawn = 0;
        while (drawn < weights.length - 1 && point >= weights[drawn]) {
            point -= weights[drawn];
            drawn++;
        }
        return candidates.get(drawn);
    }

    private double[] scores(List<Route> candidates) {
        double bestResponse = Double.MAX_VALUE;
        for (Route route : candidates) {
            bestResponse = Math.min(bestResponse, responseTimes.expectedMicros(route));
        }
        double[] scores = new double[candidates.size()];
        for (int i = 0; i < scores.length; i++) {
            scores[i] = scorer.score(candidates.get(i), bestResponse);
        }
        return scores;
    }
}
