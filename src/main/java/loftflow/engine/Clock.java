package loftflow.engine;

/** A clock that never runs backwards within a process. */
public interface Clock {
    /** The current time, in microseconds since the epoch. */
    long micros();

    /**
     * The machine's clock: it starts at the wall-clock time, so that a deadline in the journal is meaningful to the
     * next process, and advances by the monotonic clock.
     */
    static Clock system() {
        return from(System.currentTimeMillis() * 1000);
    }

    /** A clock that starts at a time, in microseconds since the epoch, and advances by the monotonic clock. */
    static Clock from(long startMicros) {
        long startNanos = System.nanoTime();
        return () -> startMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
