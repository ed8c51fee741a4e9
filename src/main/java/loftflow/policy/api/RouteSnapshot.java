package loftflow.policy.api;

/**
 * What a policy knows of a route, as stored over a restart. Durations in microseconds from now, rates in calls a
 * second; 0 where unknown.
 *
 * @param retryAfterRemainingMicros how much longer a Retry-After applies
 * @param limitPerSecond the limit for all relays together, as the destination reported it
 * @param usualRatePerSecond this relay's calls while nothing disturbed it
 * @param responseTimeMicros of a served call
 * @param circuitOpen its circuit, or its group's, is not closed
 * @param warmUpRemainingMicros how much longer it warms up after an outage
 */
public record RouteSnapshot(
        String route,
        long retryAfterRemainingMicros,
        double limitPerSecond,
        double usualRatePerSecond,
        double responseTimeMicros,
        boolean circuitOpen,
        long warmUpRemainingMicros) {}
