package loftflow.policy;

import java.util.List;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;

/**
 * Restores the state of routes from before a restart as far as it is trusted. A restored route starts at this relay's
 * share of the rate of all relays, so that a fleet that restarts at once does not overload it. A route whose circuit
 * was open, or that is not fully trusted, starts with an open circuit and is probed first; if health checks are
 * allowed, so is every restored address.
 */
final class WarmStart {
    /** Width of the random reduction of a restored rate, so that relays do not act in step. */
    private static final double START_JITTER_SHARE = 0.2;

    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final KnownLimits limits;
    private final CircuitBreaker circuitBreaker;

    WarmStart(RoundContext context, EndpointRegistry endpoints, KnownLimits limits, CircuitBreaker circuitBreaker) {
        this.context = context;
        this.endpoints = endpoints;
        this.limits = limits;
        this.circuitBreaker = circuitBreaker;
    }

    /** Restores a route that the list in force names; ignores any other. */
    void restore(RouteRestored event) {
        RouteSnapshot snapshot = event.snapshot();
        Route route = endpoints.route(snapshot.route());
        if (route == null) {
            return;
        }
        LimitGroup group = route.group;
        boolean isTrustedAndClosed = event.trust() == TrustLevel.AS_LISTED && !snapshot.circuitOpen();
        restoreObservations(route, snapshot);
        route.addressUnverified =
                !isTrustedAndClosed || context.settings().limits().probes();
        route.lastResort = event.trust() == TrustLevel.LAST_RESORT;
        restoreRate(group, snapshot);
        if (route.addressUnverified) {
            startOpen(route, isTrustedAndClosed);
        }
        if (isTrustedAndClosed && snapshot.warmUpRemainingMicros() > 0) {
            long warmUp = context.settings().rules().warmUpMicros();
            group.recoveredAtMicros = context.now() - warmUp + snapshot.warmUpRemainingMicros();
        }
    }

    private void restoreObservations(Route route, RouteSnapshot snapshot) {
        LimitGroup group = route.group;
        group.retryNotBeforeMicros =
                Math.max(group.retryNotBeforeMicros, context.now() + snapshot.retryAfterRemainingMicros());
        group.reportedLimitPerSecond =
                group.reportedLimitPerSecond > 0 ? group.reportedLimitPerSecond : snapshot.limitPerSecond();
        route.responseTimeMicros = snapshot.responseTimeMicros();
        route.lastAnswerAtMicros = context.now();
    }

    private void restoreRate(LimitGroup group, RouteSnapshot snapshot) {
        int fleetSize = context.settings().fleetSize();
        double limit = limits.limitPerSecond(group);
        // The usual rates of all relays may add up to more than a known limit allows, so the ramp ignores them.
        group.usualRatePerSecond = limit > 0 ? 0 : Math.max(group.usualRatePerSecond, snapshot.usualRatePerSecond());
        double minRate = limit > 0
                ? limit / fleetSize
                : SendRateLimiter.ASSUMED_FLEET_LIMIT_PER_SECOND / Math.min(RoundContext.ASSUMED_SENDERS, fleetSize);
        double rate =
                Math.max(minRate, snapshot.usualRatePerSecond()) * (1 - START_JITTER_SHARE * context.nextRandom());
        group.sendRatePerSecond = Math.min(group.sendRatePerSecond, rate);
        group.lastGrowthAtMicros = context.now();
        long firstSendAt = context.now() + (long) (context.nextRandom() * RoundContext.intervalMicros(rate));
        group.nextSendAtMicros = Math.max(group.nextSendAtMicros, firstSendAt);
    }

    private void startOpen(Route route, boolean isAddressCheckOnly) {
        LimitGroup group = route.group;
        circuitBreaker.startOpen(route.circuit, group, isAddressCheckOnly);
        if (group.routes.stream().noneMatch(other -> other.circuit.isClosed())) {
            boolean allAwaitCheck = group.routes.stream().allMatch(other -> other.circuit.awaitsAddressCheck);
            circuitBreaker.startOpen(group.circuit, group, allAwaitCheck);
        }
    }

    /** Returns the state of each listed route that is worth storing. */
    List<RouteSnapshot> snapshots() {
        return endpoints.routes().stream()
                .filter(route -> route.listed)
                .map(this::snapshot)
                .toList();
    }

    private RouteSnapshot snapshot(Route route) {
        LimitGroup group = route.group;
        long now = context.now();
        boolean circuitOpen = route.circuit.isTripped() || group.circuit.isTripped();
        long warmUpEndsAt = group.recoveredAtMicros + context.settings().rules().warmUpMicros();
        long warmUpRemaining = Math.max(0, warmUpEndsAt - now);
        boolean disturbed = circuitOpen || warmUpRemaining > 0;
        return new RouteSnapshot(
                route.name,
                Math.max(0, group.retryNotBeforeMicros - now),
                group.reportedLimitPerSecond,
                disturbed ? group.usualRatePerSecond : group.sentCalls.ratePerSecond(now),
                route.responseTimeMicros,
                circuitOpen,
                warmUpRemaining);
    }
}
