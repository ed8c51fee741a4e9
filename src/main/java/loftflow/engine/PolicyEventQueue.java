package loftflow.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loftflow.policy.api.PolicyEvent;

/** Collects events for the policy; the first event after a round schedules the next round. */
final class PolicyEventQueue {
    private final Timers timers;
    private final long roundPeriodMicros;
    private final Runnable round;
    private Consumer<PolicyEvent> observer = event -> {};
    private List<PolicyEvent> events = new ArrayList<>();
    private boolean isRoundScheduled;

    /**
     * Creates an empty queue.
     *
     * @param roundPeriodMicros delay from the first event to its round, in microseconds
     * @param round runs a round, which drains this queue
     */
    PolicyEventQueue(Timers timers, long roundPeriodMicros, Runnable round) {
        this.timers = timers;
        this.roundPeriodMicros = roundPeriodMicros;
        this.round = round;
    }

    /** Sets an observer that receives each event as it is added. */
    void setObserver(Consumer<PolicyEvent> eventObserver) {
        observer = eventObserver;
    }

    void add(PolicyEvent event) {
        events.add(event);
        observer.accept(event);
        if (!isRoundScheduled) {
            isRoundScheduled = true;
            // A client is answered only after a whole period, so that a disconnect that is already in the socket buffer
            // is read first.
            timers.schedule(roundPeriodMicros, round);
        }
    }

    /** Removes and returns all events, in the order added; the next event schedules a new round. */
    List<PolicyEvent> drain() {
        isRoundScheduled = false;
        List<PolicyEvent> drained = events;
        events = new ArrayList<>();
        return drained;
    }
}
