package loftflow.policy;

/**
 * When is the next round needed if no event arrives? Keeps one timer set to the earliest time at which anything is due.
 */
final class WakeUpTimer {
    /** The name of the timer. */
    static final long TIMER_ID = 1;

    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final PendingMessages messages;
    private final RouteAvailability availability;
    private final ConcurrencyLimiter concurrency;
    private final SendPermitCoordinator coordinator;
    /** {@link Long#MAX_VALUE} while no timer is set. */
    private long setForMicros = Long.MAX_VALUE;

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

    /** A timer of this name fired; it may be an earlier one than the latest that was set. */
    void onTimer() {
        setForMicros = context.now() >= setForMicros ? Long.MAX_VALUE : setForMicros;
    }

    /** Sets the timer where something is due before it would fire. */
    void arm() {
        long next = nextDueMicros();
        if (next < setForMicros) {
            setForMicros = Math.max(next, context.now() + 1);
            context.actions().setTimer(TIMER_ID, setForMicros - context.now());
        }
    }

    private long nextDueMicros() {
        long next = messages.nextDeadlineMicros();
        next = endpoints.awaitsList() ? Math.min(next, endpoints.awaitsListUntilMicros()) : next;
        next = Math.min(next, coordinator.nextPermitAtMicros(next));
        for (Destination destination : messages.busyDestinations()) {
            for (Route route : destination.routes.values()) {
                next = Math.min(next, route.listed ? availability.nextUseAtMicros(route) : Long.MAX_VALUE);
            }
        }
        return messages.hasWaitingMessages() ? concurrency.nextOverdueAtMicros(next) : next;
    }
}
