package loftflow.engine;

/** Runs tasks later, on the thread that everything in the engine happens on. */
public interface Timers {
    /** A task that is due once. */
    interface Timer {
        /** Lets the task be; without effect once it has run. */
        void cancel();
    }

    /** Runs a task once after a span in microseconds. */
    Timer schedule(long micros, Runnable task);
}
