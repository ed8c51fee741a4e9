package loftflow.experiment.emulator;

import java.util.PriorityQueue;
import loftflow.engine.Clock;
import loftflow.engine.Timers;

/**
 * Time that passes from one thing to happen to the next. What is due at one time happens in the order it was asked for.
 */
final class VirtualTime implements Clock, Timers {
    private static final class Due implements Timer, Comparable<Due> {
        private final long at;
        private final long order;
        private Runnable task;

        Due(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        @Override
        public void cancel() {
            // Lets go of what the task holds: it stays in the queue until its time.
            task = null;
        }

        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long now;
    private long order;
    private long happened;

    @Override
    public long micros() {
        return now;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        return at(now + Math.max(0, micros), task);
    }

    Timer at(long time, Runnable task) {
        Due due = new Due(Math.max(now, time), order++, task);
        queue.add(due);
        return due;
    }

    /** Lets everything happen that is due until a time, and then it is that time. */
    void run(long until) {
        for (Due due = queue.peek(); due != null && due.at <= until; due = queue.peek()) {
            queue.remove();
            if (due.task != null) {
                now = due.at;
                happened++;
                due.task.run();
            }
        }
        now = until;
    }

    /** How much has happened. */
    long happened() {
        return happened;
    }
}
