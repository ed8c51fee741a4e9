package loftflow.http;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The single timer of a connection. It is started and stopped several times per message and rarely fires, so stopping
 * leaves the scheduled wake-up in place, and starting schedules a new wake-up only if the scheduled one would be too
 * late. A wake-up before the due time schedules the next one. To be used on the connection's event loop.
 */
public final class ConnectionTimer {
    /** Schedules a task on the event loop of the connection. */
    public interface Scheduler {
        /** Runs a task after a delay in nanoseconds. */
        Future<?> schedule(long delayNanos, Runnable task);
    }

    private final Scheduler scheduler;
    /** The clock of {@link #dueAtNanos}, in nanoseconds. */
    private final LongSupplier nanoClock;
    /** Null while the timer is stopped. */
    private Runnable task;
    /** The time on {@link #nanoClock} at which the task is due. */
    private long dueAtNanos;
    /** Null if no wake-up is scheduled. */
    private Future<?> wakeUp;

    private long wakeUpAtNanos;

    /** Creates a stopped timer. */
    public ConnectionTimer(Scheduler scheduler) {
        this(scheduler, System::nanoTime);
    }

    /** Creates a stopped timer with the given clock. */
    ConnectionTimer(Scheduler scheduler, LongSupplier nanoClock) {
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    /** Schedules a task to run once, after a delay; replaces the task of an earlier start. */
    public void start(long delay, TimeUnit unit, Runnable dueTask) {
        long delayNanos = unit.toNanos(delay);
        task = dueTask;
        dueAtNanos = nanoClock.getAsLong() + delayNanos;
        if (wakeUp == null || wakeUpAtNanos - dueAtNanos > 0) {
            scheduleWakeUp(delayNanos);
        }
    }

    private void scheduleWakeUp(long delayNanos) {
        if (wakeUp != null) {
            wakeUp.cancel(false);
        }
        wakeUpAtNanos = nanoClock.getAsLong() + delayNanos;
        wakeUp = scheduler.schedule(delayNanos, this::onWakeUp);
    }

    private void onWakeUp() {
        wakeUp = null;
        Runnable dueTask = task;
        if (dueTask == null) {
            return;
        }
        long remainingNanos = dueAtNanos - nanoClock.getAsLong();
        if (remainingNanos > 0) {
            scheduleWakeUp(remainingNanos);
        } else {
            task = null;
            dueTask.run();
        }
    }

    /** Returns whether a task is scheduled. */
    public boolean isRunning() {
        return task != null;
    }

    /** Discards the task; the timer can be started again. */
    public void stop() {
        task = null;
    }

    /**
     * Stops the timer and cancels the wake-up, which would otherwise keep the connection reachable. To be called when
     * the connection is closed.
     */
    public void end() {
        task = null;
        if (wakeUp != null) {
            wakeUp.cancel(false);
            wakeUp = null;
        }
    }
}
