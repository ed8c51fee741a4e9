package pipitstage.engine;

/**
 * A clock in microseconds that never steps back. It starts at the wall clock's time, so that a deadline
 * written to the journal still means something to the next process.
 */
public final class Clock {
    private final long startWall = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    /** Microseconds since the epoch, as the wall clock told at the start. */
    public long micros() {
        return startWall + (System.nanoTime() - startNanos) / 1000;
    }
}
