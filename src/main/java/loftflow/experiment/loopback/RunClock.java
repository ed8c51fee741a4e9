package loftflow.experiment.loopback;

/** The clock of a run, which starts when all parts of the run are ready and reads 0 until then. Thread-safe. */
final class RunClock {
    private static final long NANOS_PER_MICRO = 1_000;

    private volatile long startNanos;
    private volatile boolean started;

    void start(long atNanos) {
        startNanos = atNanos;
        started = true;
    }

    /** Microseconds since the start. */
    long micros() {
        return started ? Math.max(0, (System.nanoTime() - startNanos) / NANOS_PER_MICRO) : 0;
    }
}
