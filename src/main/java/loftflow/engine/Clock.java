package loftflow.engine;

/** The time in microseconds since the epoch, which never steps back while a process lives. */
public interface Clock {
    long micros();

    /**
     * The machine's clock. It starts at the wall clock's time, so that a deadline written to the journal still means
     * something to the next process, and is carried on by the monotonic clock.
     */
    static Clock system() {
        return from(System.currentTimeMillis() * 1000);
    }

    /** A clock that starts at a time and is carried on by the monotonic clock. */
    static Clock from(long startWall) {
        long startNanos = System.nanoTime();
        return () -> startWall + (System.nanoTime() - startNanos) / 1000;
    }
}
