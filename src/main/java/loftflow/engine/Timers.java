package loftflow.engine;

/** Schedules tasks on the event loop. */
public interface Timers {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }

    /** Runs a task once, after a delay in microseconds. */
    Timer schedule(long delayMicros, Runnable task);
}
