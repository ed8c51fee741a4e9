package loftflow.warmstart;

import loftflow.policy.api.RouteSnapshot;

/** Copies of {@link RouteSnapshot} with single values replaced. */
final class RouteSnapshots {
    private RouteSnapshots() {}

    /** A route of which nothing is known. */
    static RouteSnapshot unknown(String routeId) {
        return new RouteSnapshot(routeId, 0, 0, 0, 0, false, 0);
    }

    static RouteSnapshot withRetryAfterAtLeast(RouteSnapshot route, long waitMicros) {
        return withWaits(route, Math.max(route.retryAfterRemainingMicros(), waitMicros), route.warmUpRemainingMicros());
    }

    static RouteSnapshot withWaits(RouteSnapshot route, long retryAfterRemainingMicros, long warmUpRemainingMicros) {
        return new RouteSnapshot(
                route.route(),
                retryAfterRemainingMicros,
                route.limitPerSecond(),
                route.usualRatePerSecond(),
                route.responseTimeMicros(),
                route.circuitOpen(),
                warmUpRemainingMicros);
    }

    static RouteSnapshot withCircuitOpen(RouteSnapshot route, boolean isOpen) {
        return new RouteSnapshot(
                route.route(),
                route.retryAfterRemainingMicros(),
                route.limitPerSecond(),
                route.usualRatePerSecond(),
                route.responseTimeMicros(),
                isOpen,
                route.warmUpRemainingMicros());
    }

    /** A current snapshot, with the rate and response time of an earlier one where that one has seen more calls. */
    static RouteSnapshot withEarlierRates(RouteSnapshot current, RouteSnapshot earlier) {
        return new RouteSnapshot(
                current.route(),
                current.retryAfterRemainingMicros(),
                current.limitPerSecond(),
                Math.max(current.usualRatePerSecond(), earlier.usualRatePerSecond()),
                current.responseTimeMicros() > 0 ? current.responseTimeMicros() : earlier.responseTimeMicros(),
                current.circuitOpen(),
                current.warmUpRemainingMicros());
    }
}
