package loftflow.engine;

/** Schedules tasks on the event loop. */
public interface Timers {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it has run. */
        void cancel();
    }

    /** Schedules a task to run once, after a delay in microseconds. */
    Timer schedule(long delayMicros, Runnable task);
}
