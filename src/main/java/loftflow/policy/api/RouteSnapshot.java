package loftflow.policy.api;

/**
 * State of a route as stored across a restart. Durations are in microseconds from now, rates in calls per second; 0
 * means unknown.
 *
 * @param retryAfterRemainingMicros remaining duration of a Retry-After
 * @param limitPerSecond limit for all relays together, as reported by the destination
 * @param usualRatePerSecond call rate of this relay outside outages and warm-up
 * @param responseTimeMicros response time of a served call
 * @param circuitOpen true if the circuit of the route or of its group is not closed
 * @param warmUpRemainingMicros remaining duration of the warm-up after an outage
 */
public record RouteSnapshot(
        String route,
        long retryAfterRemainingMicros,
        double limitPerSecond,
        double usualRatePerSecond,
        double responseTimeMicros,
        boolean circuitOpen,
        long warmUpRemainingMicros) {}
