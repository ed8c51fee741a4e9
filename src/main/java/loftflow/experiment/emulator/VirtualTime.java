package loftflow.experiment.emulator;

import java.util.PriorityQueue;
import loftflow.engine.Clock;
import loftflow.engine.Timers;

/**
 * A virtual clock with an event queue: time advances from one event to the next. Events that are due at the same time
 * run in the order in which they were scheduled. Not thread-safe.
 */
final class VirtualTime implements Clock, Timers {
    private static final class Event implements Timer, Comparable<Event> {
        private final long dueMicros;
        private final long sequenceNumber;
        private Runnable task;

        Event(long dueMicros, long sequenceNumber, Runnable task) {
            this.dueMicros = dueMicros;
            this.sequenceNumber = sequenceNumber;
            this.task = task;
        }

        /** Releases the task at once; the event itself stays queued until it is due. */
        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Event other) {
            return dueMicros != other.dueMicros
                    ? Long.compare(dueMicros, other.dueMicros)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequenceNumber;
    private long executedEvents;

    @Override
    public long micros() {
        return nowMicros;
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        return scheduleAt(nowMicros + Math.max(0, delayMicros), task);
    }

    /** Schedules a task at a time, or now if that has passed. */
    Timer scheduleAt(long timeMicros, Runnable task) {
        Event event = new Event(Math.max(nowMicros, timeMicros), nextSequenceNumber++, task);
        queue.add(event);
        return event;
    }

    /** Runs every event that is due until a time, and advances the clock to that time. */
    void runUntil(long untilMicros) {
        for (Event event = queue.peek(); event != null && event.dueMicros <= untilMicros; event = queue.peek()) {
            queue.remove();
            if (event.task != null) {
                nowMicros = event.dueMicros;
                executedEvents++;
                event.task.run();
            }
        }
        nowMicros = untilMicros;
    }

    /** Number of events run so far, without cancelled ones. */
    long executedEvents() {
        return executedEvents;
    }
}
