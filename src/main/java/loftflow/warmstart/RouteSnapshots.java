package loftflow.warmstart;

import loftflow.policy.api.RouteSnapshot;

/** Functions that copy a {@link RouteSnapshot} with some values replaced. */
final class RouteSnapshots {
    private RouteSnapshots() {}

    /** Returns the snapshot of a route that has no recorded state. */
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

    /** Returns the current snapshot with the higher of both rates, and the earlier response time if it has none. */
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
