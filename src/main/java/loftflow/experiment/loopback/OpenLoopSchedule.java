package loftflow.experiment.loopback;

import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loftflow.experiment.scenario.Arrival;
import org.HdrHistogram.Histogram;

/**
 * An open loop: each message is due at its own time, whatever became of those before. How late each leaves is counted,
 * so that a
 * machine that can't keep up shows as that; and what a message takes is counted from when it was due, never from when
 * it left.
 */
final class OpenLoopSchedule implements Runnable {
    private static final long LONGEST = 3_600_000_000L;
    private static final long SPIN_NANOS = 50_000;

    private final Iterator<Arrival> arrivals;
    private final long startNanos;
    private final Consumer<Arrival> out;
    private final LongConsumer beforeEach;
    private final Histogram lateness = new Histogram(LONGEST, 3);

    /**
     * A pace.
     *
     * @param startNanos the system's time of what is due at 0
     * @param beforeEach is told what is due next, in microseconds; a test stalls there
     */
    OpenLoopSchedule(Iterator<Arrival> arrivals, long startNanos, Consumer<Arrival> out, LongConsumer beforeEach) {
        this.arrivals = arrivals;
        this.startNanos = startNanos;
        this.out = out;
        this.beforeEach = beforeEach;
    }

    @Override
    public void run() {
        while (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            beforeEach.accept(arrival.at());
            long due = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.at());
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                if (Thread.currentThread().isInterrupted()) {
                    return;
                }
                if (left > SPIN_NANOS) {
                    LockSupport.parkNanos(left - SPIN_NANOS);
                }
            }
            lateness.recordValue(Math.min(LONGEST, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due)));
            out.accept(arrival);
        }
    }

    /** How late messages left; to be read once it has ended. */
    LoopbackRun.Lateness lateness() {
        return new LoopbackRun.Lateness(
                lateness.getValueAtPercentile(50), lateness.getValueAtPercentile(99), lateness.getMaxValue());
    }
}
