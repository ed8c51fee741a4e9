package loftflow.experiment.loopback;

/** The time of a run, which begins when all that takes part is ready; it is 0 until then. */
final class RunClock {
    private volatile long startNanos;
    private volatile boolean begun;

    void begin(long at) {
        startNanos = at;
        begun = true;
    }

    /** Microseconds from the beginning. */
    long micros() {
        return begun ? Math.max(0, (System.nanoTime() - startNanos) / 1_000) : 0;
    }
}
