package loftflow.http;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one timer of a connection. It is started and stopped several times for each message and hardly ever fires, so
 * stopping leaves the scheduled wake-up in place, and starting schedules a new one only where the wake-up would be too
 * late. A wake-up before the due time schedules the next one. To be used on the connection's event loop.
 */
public final class ConnectionTimer {
    /** Schedules a task on the event loop of the connection. */
    public interface Scheduler {
        /** Runs a task after a delay in nanoseconds. */
        Future<?> after(long delayNanos, Runnable task);
    }

    private final Scheduler scheduler;
    /** The clock of {@link #dueAtNanos}, in nanoseconds. */
    private final LongSupplier nanoClock;
    /** Null while the timer is stopped. */
    private Runnable task;
    /** When the task is due. */
    private long dueAtNanos;
    /** Null where no wake-up is scheduled. */
    private Future<?> wakeUp;

    private long wakeUpAtNanos;

    /** A timer that is stopped. */
    public ConnectionTimer(Scheduler scheduler) {
        this(scheduler, System::nanoTime);
    }

    /** A timer that is stopped, on a given clock. */
    ConnectionTimer(Scheduler scheduler, LongSupplier nanoClock) {
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
    }

    /** Runs a task once after a delay; replaces the task of an earlier start. */
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
        wakeUp = scheduler.after(delayNanos, this::onWakeUp);
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

    /** True where a task is to run. */
    public boolean isRunning() {
        return task != null;
    }

    /** Drops the task; the timer may be started again. */
    public void stop() {
        task = null;
    }

    /** Stops and cancels the wake-up, which would keep the connection reachable; at the end of the connection. */
    public void end() {
        task = null;
        if (wakeUp != null) {
            wakeUp.cancel(false);
            wakeUp = null;
        }
    }
}
