package loftflow.policy.api;

/**
 * What a module knows of a route. Spans are in microseconds from now, rates in calls a second; 0 where unknown.
 *
 * @param retryAfterRemainingMicros how long a told wait runs on
 * @param limitPerSecond calls a second that it takes from all relays, as it reported
 * @param usualRatePerSecond calls a second of this relay while it served as ever
 * @param circuitOpen its circuit is not closed
 * @param warmUpRemainingMicros how long it stays cold after its return
 */
public record RouteSnapshot(
        String route,
        long retryAfterRemainingMicros,
        double limitPerSecond,
        double usualRatePerSecond,
        double responseTimeMicros,
        boolean circuitOpen,
        long warmUpRemainingMicros) {}
