package loftflow.engine;

/** A clock that never runs backwards within a process. */
public interface Clock {
    /** Returns the current time, in microseconds since the epoch. */
    long micros();

    /** Returns a clock that starts at the wall-clock time and advances with the monotonic clock. */
    static Clock system() {
        return from(System.currentTimeMillis() * 1000);
    }

    /**
     * Returns a clock that advances with the monotonic clock.
     *
     * @param startMicros its time at the call, in microseconds since the epoch
     */
    static Clock from(long startMicros) {
        long startNanos = System.nanoTime();
        return () -> startMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
