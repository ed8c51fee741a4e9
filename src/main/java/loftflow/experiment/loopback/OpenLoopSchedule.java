package loftflow.experiment.loopback;

import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loftflow.experiment.scenario.Arrival;
import org.HdrHistogram.Histogram;

/**
 * An open-loop schedule: each message is due at its own time, whatever became of the earlier ones. The lateness of
 * each send is recorded, so that a machine that cannot keep up is detected; latencies count from the due time.
 */
final class OpenLoopSchedule implements Runnable {
    private static final long MAX_LATENESS_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    /** The last part of a wait is spent spinning, as a parked thread may wake up late. */
    private static final long SPIN_NANOS = 50_000;

    private final Iterator<Arrival> arrivals;
    private final long startNanos;
    private final Consumer<Arrival> sink;
    private final LongConsumer beforeEach;
    private final Histogram latenessMicros = new Histogram(MAX_LATENESS_MICROS, SIGNIFICANT_DIGITS);

    /**
     * Creates a schedule.
     *
     * @param startNanos the time of {@link System#nanoTime} for messages that are due at 0
     * @param sink receives each message when it is due
     * @param beforeEach receives the next due time in microseconds; a test may block there
     */
    OpenLoopSchedule(Iterator<Arrival> arrivals, long startNanos, Consumer<Arrival> sink, LongConsumer beforeEach) {
        this.arrivals = arrivals;
        this.startNanos = startNanos;
        this.sink = sink;
        this.beforeEach = beforeEach;
    }

    /** Runs until all messages are sent, or the thread is interrupted. */
    @Override
    public void run() {
        while (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            beforeEach.accept(arrival.atMicros());
            long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.atMicros());
            if (!awaitTime(dueNanos)) {
                return;
            }
            long lateMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
            latenessMicros.recordValue(Math.min(MAX_LATENESS_MICROS, lateMicros));
            sink.accept(arrival);
        }
    }

    /** Waits for a time; false if the thread is interrupted before. */
    private static boolean awaitTime(long timeNanos) {
        for (long left = timeNanos - System.nanoTime(); left > 0; left = timeNanos - System.nanoTime()) {
            if (Thread.currentThread().isInterrupted()) {
                return false;
            }
            if (left > SPIN_NANOS) {
                LockSupport.parkNanos(left - SPIN_NANOS);
            }
        }
        return true;
    }

    /** The lateness of the messages; to be read after the end of {@link #run}. */
    LoopbackRun.Lateness lateness() {
        return new LoopbackRun.Lateness(
                latenessMicros.getValueAtPercentile(50),
                latenessMicros.getValueAtPercentile(99),
                latenessMicros.getMaxValue());
    }
}
