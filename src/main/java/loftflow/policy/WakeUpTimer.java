package loftflow.policy;

/** Keeps one timer set to the earliest time at which a round is needed without an event. */
final class WakeUpTimer {
    /** Id of the timer. */
    static final long TIMER_ID = 1;

    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final PendingMessages messages;
    private final RouteAvailability availability;
    private final ConcurrencyLimiter concurrency;
    private final SendPermitCoordinator coordinator;
    /** Time at which the timer fires; {@link Long#MAX_VALUE} while none is set. */
    private long firesAtMicros = Long.MAX_VALUE;

    WakeUpTimer(
            RoundContext context,
            EndpointRegistry endpoints,
            PendingMessages messages,
            RouteAvailability availability,
            ConcurrencyLimiter concurrency,
            SendPermitCoordinator coordinator) {
        this.context = context;
        this.endpoints = endpoints;
        this.messages = messages;
        this.availability = availability;
        this.concurrency = concurrency;
        this.coordinator = coordinator;
    }

    /** Handles a timer of this id, which may be an earlier one than the latest that was set. */
    void onTimer() {
        firesAtMicros = context.now() >= firesAtMicros ? Long.MAX_VALUE : firesAtMicros;
    }

    /** Sets the timer if something is due before it would fire. */
    void arm() {
        long next = nextDueMicros();
        if (next < firesAtMicros) {
            firesAtMicros = Math.max(next, context.now() + 1);
            context.actions().setTimer(TIMER_ID, firesAtMicros - context.now());
        }
    }

    private long nextDueMicros() {
        long next = messages.nextDeadlineMicros();
        next = endpoints.isAwaitingList() ? Math.min(next, endpoints.awaitListUntilMicros()) : next;
        next = Math.min(next, coordinator.nextPermitAtMicros(next));
        for (Destination destination : messages.busyDestinations()) {
            for (Route route : destination.routes.values()) {
                next = Math.min(next, route.listed ? availability.nextUseAtMicros(route) : Long.MAX_VALUE);
            }
        }
        return messages.hasWaitingMessages() ? concurrency.nextOverdueAtMicros(next) : next;
    }
}
