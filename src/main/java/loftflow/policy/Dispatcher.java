package loftflow.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sends the waiting messages of a round. First it probes the circuits that admit a probe. Then, while call slots are
 * free, it sends the message of any destination that would lose the most value by being deferred. Finally it cancels
 * overdue calls in favour of messages that found no slot, and requests permits if they are required.
 */
final class Dispatcher {
    /** The next message of a destination, its route, and the value lost by deferring it. */
    private record Candidate(PendingMessage message, Route route, double lossIfDeferred) {}

    private static final Comparator<Candidate> GREATEST_LOSS_FIRST = Comparator.comparingDouble(
                    Candidate::lossIfDeferred)
            .reversed()
            .thenComparingLong(candidate -> candidate.message.id);

    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final PendingMessages messages;
    private final KeyOrder keyOrder;
    private final MessageValue values;
    private final ResponseTimes responseTimes;
    private final RetryPolicy retryPolicy;
    private final CircuitBreaker circuitBreaker;
    private final RouteAvailability availability;
    private final RouteSelector selector;
    private final ConcurrencyLimiter concurrency;
    private final SendPermits permits;
    private final SendPermitCoordinator coordinator;
    private final HalfOpenProbe probes;
    private final CallSender sender;

    Dispatcher(
            RoundContext context,
            EndpointRegistry endpoints,
            PendingMessages messages,
            KeyOrder keyOrder,
            MessageValue values,
            ResponseTimes responseTimes,
            RetryPolicy retryPolicy,
            CircuitBreaker circuitBreaker,
            RouteAvailability availability,
            RouteSelector selector,
            ConcurrencyLimiter concurrency,
            SendPermits permits,
            SendPermitCoordinator coordinator,
            HalfOpenProbe probes,
            CallSender sender) {
        this.context = context;
        this.endpoints = endpoints;
        this.messages = messages;
        this.keyOrder = keyOrder;
        this.values = values;
        this.responseTimes = responseTimes;
        this.retryPolicy = retryPolicy;
        this.circuitBreaker = circuitBreaker;
        this.availability = availability;
        this.selector = selector;
        this.concurrency = concurrency;
        this.permits = permits;
        this.coordinator = coordinator;
        this.probes = probes;
        this.sender = sender;
    }

    /**
     * Sends the messages that may be sent. Sends nothing while a list from before a restart awaits a newer one, as it
     * may still name a draining host as listed.
     */
    void dispatch() {
        if (endpoints.isAwaitingList()) {
            return;
        }
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(GREATEST_LOSS_FIRST);
        coordinator.issuePermits();
        for (Destination destination : List.copyOf(messages.busyDestinations())) {
            probes.probeRoutes(destination);
            addCandidate(destination, candidates);
        }
        while (!candidates.isEmpty() && concurrency.hasFreeSlot()) {
            Candidate next = candidates.poll();
            sender.send(next.message, next.route, false);
            addCandidate(next.message.destination, candidates);
        }
        concurrency.cancelOverdueCalls(candidates.size());
        messages.busyDestinations().forEach(permits::requestIfRequired);
    }

    private void addCandidate(Destination destination, PriorityQueue<Candidate> candidates) {
        if (destination.waitingMessages.isEmpty()) {
            return;
        }
        List<Route> usable = new ArrayList<>(destination.routes.values());
        usable.removeIf(route -> {
            circuitBreaker.openIfUnresponsive(route);
            return !availability.isUsable(route);
        });
        if (usable.isEmpty()) {
            return;
        }
        PendingMessage best = null;
        double greatestLoss = -1;
        for (PendingMessage message : destination.waitingMessages) {
            double loss = values.lossIfDeferred(message, usable.get(0));
            boolean isEarlier = best != null && loss == greatestLoss && message.deadlineMicros < best.deadlineMicros;
            if ((loss > greatestLoss || isEarlier) && maySendNow(message, usable)) {
                best = message;
                greatestLoss = loss;
            }
        }
        if (best != null) {
            candidates.add(new Candidate(best, selector.select(best, usable), greatestLoss));
        }
    }

    private boolean maySendNow(PendingMessage message, List<Route> usable) {
        return keyOrder.isNextInOrder(message)
                && canBeAnsweredInTime(message, usable.get(0))
                && retryPolicy.isAllowedAtAny(message, usable);
    }

    private boolean canBeAnsweredInTime(PendingMessage message, Route route) {
        return message.deadlineMicros - context.now() > responseTimes.expectedMicros(route) / 2;
    }
}
