package loftflow.policy;

import java.util.Comparator;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;

/**
 * Which message or health check probes a route whose circuit is not closed? One at a time, when the circuit's pause is
 * over: the waiting message that loses least by a failed attempt, or a health check where a message might be left
 * without any route to go to.
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

    /** Probes every route of a destination whose circuit admits it. */
    void probeRoutes(Destination destination) {
        for (Route route : destination.routes.values()) {
            boolean groupNotClosed = !route.group.circuit.isClosed();
            Circuit circuit = groupNotClosed ? route.group.circuit : route.circuit;
            boolean hasBetterSibling = groupNotClosed && hasSiblingWithFewerFailures(route);
            if (route.listed
                    && !hasBetterSibling
                    && !isNotNeeded(route)
                    && circuitBreaker.admitsProbe(circuit)
                    && context.now() >= route.group.retryNotBeforeMicros
                    && concurrency.hasFreeSlot()) {
                probe(destination, route, circuit);
            }
        }
    }

    /** A group is not probed time and again by its one dead route. */
    private static boolean hasSiblingWithFewerFailures(Route route) {
        return route.group.routes.stream()
                .anyMatch(
                        other -> other.listed && other.circuit.consecutiveFailures < route.circuit.consecutiveFailures);
    }

    /** A last-resort route is left alone while its destination has one that has not failed. */
    private static boolean isNotNeeded(Route route) {
        return route.lastResort
                && route.destination.routes.values().stream()
                        .anyMatch(other -> other.listed
                                && !other.lastResort
                                && (other.circuit.isClosed() || other.errorRate == 0));
    }

    private void probe(Destination destination, Route route, Circuit circuit) {
        PendingMessage message = cheapestMessage(destination, route);
        if (message == null) {
            return;
        }
        circuit.probeInFlight = true;
        boolean messageMayProbe = !route.addressUnverified && isRepeatableAnywhere(message);
        if (!messageMayProbe && context.settings().limits().probes()) {
            route.group.sentCalls.increment(context.now());
            context.actions().probe(route.name);
        } else {
            sender.send(message, route, true);
        }
    }

    /** The message that loses least, among those with time enough for a probe's timeout; null where there is none. */
    private PendingMessage cheapestMessage(Destination destination, Route route) {
        return destination.waitingMessages.stream()
                .filter(message -> keyOrder.hasTurn(message)
                        && retryPolicy.isAllowed(message, route)
                        && message.deadlineMicros - context.now() >= timeouts.probeTimeoutMicros(route))
                .min(Comparator.comparingInt(HalfOpenProbe::costOfFailure))
                .orElse(null);
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
