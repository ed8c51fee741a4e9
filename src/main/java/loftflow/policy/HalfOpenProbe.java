package loftflow.policy;

import java.util.Comparator;
import java.util.stream.Stream;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;

/**
 * Probes routes whose circuit is not closed, one probe at a time and only after the circuit's pause. A probe is the
 * waiting message with the lowest cost of failure. If health checks are allowed, one is sent instead if the route's
 * address is not verified or if a failed attempt could leave that message without any permitted route.
 */
final class HalfOpenProbe {
    private static final int COST_PER_IDEMPOTENCY_LEVEL = 100;
    private static final int COST_IF_MAY_HAVE_EXECUTED = 50;

    private final RoundContext context;
    private final CircuitBreaker circuitBreaker;
    private final ConcurrencyLimiter concurrency;
    private final KeyOrder keyOrder;
    private final RetryPolicy retryPolicy;
    private final AttemptTimeouts timeouts;
    private final CallSender sender;

    HalfOpenProbe(
            RoundContext context,
            CircuitBreaker circuitBreaker,
            ConcurrencyLimiter concurrency,
            KeyOrder keyOrder,
            RetryPolicy retryPolicy,
            AttemptTimeouts timeouts,
            CallSender sender) {
        this.context = context;
        this.circuitBreaker = circuitBreaker;
        this.concurrency = concurrency;
        this.keyOrder = keyOrder;
        this.retryPolicy = retryPolicy;
        this.timeouts = timeouts;
        this.sender = sender;
    }

    /** Probes every route of a destination whose circuit admits a probe. */
    void probeRoutes(Destination destination) {
        for (Route route : destination.routes.values()) {
            boolean groupNotClosed = !route.group.circuit.isClosed();
            Circuit circuit = groupNotClosed ? route.group.circuit : route.circuit;
            boolean hasBetterSibling = groupNotClosed && hasSiblingWithFewerFailures(route);
            if (route.listed
                    && !hasBetterSibling
                    && !isUnneededLastResort(route)
                    && circuitBreaker.admitsProbe(circuit)
                    && context.now() >= route.group.retryNotBeforeMicros
                    && concurrency.hasFreeSlot()) {
                probe(destination, route, circuit);
            }
        }
    }

    /**
     * Returns whether another route of the group has fewer consecutive failures. That route is probed instead, so that
     * a group is not probed repeatedly by its one failed route.
     */
    private static boolean hasSiblingWithFewerFailures(Route route) {
        return route.group.routes.stream()
                .anyMatch(
                        other -> other.listed && other.circuit.consecutiveFailures < route.circuit.consecutiveFailures);
    }

    /**
     * Returns whether the route is a last resort and its destination lists another route that is not, and whose circuit
     * is closed or which has not failed.
     */
    private static boolean isUnneededLastResort(Route route) {
        return route.lastResort
                && route.destination.routes.values().stream()
                        .anyMatch(other -> other.listed
                                && !other.lastResort
                                && (other.circuit.isClosed() || other.errorRate == 0));
    }

    private void probe(Destination destination, Route route, Circuit circuit) {
        PendingMessage message = messageWithLowestCost(destination, route);
        if (message == null) {
            probeForShortLivedMessages(destination, route, circuit);
            return;
        }
        boolean messageMayProbe = !route.addressUnverified && isRepeatableAnywhere(message);
        if (!messageMayProbe && context.settings().limits().probes()) {
            circuit.startProbe(checkHealth(route));
        } else {
            circuit.startProbe(sender.send(message, route, true));
        }
    }

    /**
     * Probes a route for which only messages wait that have too little time left for a probe, once no other has come
     * for such a time. Without it, a destination that gets no others would get no call any more.
     */
    private void probeForShortLivedMessages(Destination destination, Route route, Circuit circuit) {
        if (context.now() - circuit.probeNotBeforeMicros < timeouts.probeTimeoutMicros(route)) {
            return;
        }
        PendingMessage longestLived = waitingMessages(destination, route)
                .max(Comparator.comparingLong(message -> message.deadlineMicros))
                .orElse(null);
        if (longestLived != null) {
            boolean maySendCheck = context.settings().limits().probes();
            circuit.startProbe(maySendCheck ? checkHealth(route) : sender.send(longestLived, route, true));
        }
    }

    private Call checkHealth(Route route) {
        Call check = new Call(route, context.now(), true);
        route.healthChecksInFlight.add(check);
        route.group.sentCalls.increment(context.now());
        context.actions().probe(route.name);
        return check;
    }

    /**
     * Returns the message with the lowest cost of failure among those that may be sent to the route and have enough
     * time left for a probe's timeout; null if there is none.
     */
    private PendingMessage messageWithLowestCost(Destination destination, Route route) {
        long probeTimeoutMicros = timeouts.probeTimeoutMicros(route);
        return waitingMessages(destination, route)
                .filter(message -> message.deadlineMicros - context.now() >= probeTimeoutMicros)
                .min(Comparator.comparingInt(HalfOpenProbe::costOfFailure))
                .orElse(null);
    }

    private Stream<PendingMessage> waitingMessages(Destination destination, Route route) {
        return destination.waitingMessages.stream()
                .filter(message -> keyOrder.isNextInOrder(message) && retryPolicy.isAllowed(message, route));
    }

    private static boolean isRepeatableAnywhere(PendingMessage message) {
        Idempotency idempotency = message.requestClass.idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || idempotency == Idempotency.IDEMPOTENT_BY_KEY && message.requestClass.keyScope() == KeyScope.ALL;
    }

    private static int costOfFailure(PendingMessage message) {
        int level =
                switch (message.requestClass.idempotency()) {
                    case IDEMPOTENT -> 0;
                    case IDEMPOTENT_BY_KEY -> 1;
                    case NON_IDEMPOTENT -> 2;
                };
        int cost = level * COST_PER_IDEMPOTENCY_LEVEL + message.attempts.size();
        return cost + (message.firstAttemptThatMayHaveExecuted() == null ? 0 : COST_IF_MAY_HAVE_EXECUTED);
    }
}
