package loftflow.http;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The one timer of a connection, which is started and stopped several times for each message and hardly ever fires.
 * Stopping
 * costs nothing, and starting again most often neither: what stands with the event loop is left standing, and looks,
 * when it is
 * due, whether something is really due by then.
 */
public final class ConnectionTimer {
    /** Runs a task after a span. */
    public interface Scheduler {
        Future<?> after(long nanos, Runnable task);
    }

    private final Scheduler scheduler;
    private Runnable task;
    private long dueAt;
    private Future<?> standing;
    private long standsAt;

    /** A timer that is stopped. */
    public ConnectionTimer(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs a task after a span, in place of what was to run. */
    public void start(long span, TimeUnit unit, Runnable runs) {
        long nanos = unit.toNanos(span);
        task = runs;
        dueAt = System.nanoTime() + nanos;
        if (standing == null || standsAt - dueAt > 0) {
            stand(nanos);
        }
    }

    private void stand(long nanos) {
        if (standing != null) {
            standing.cancel(false);
        }
        standsAt = System.nanoTime() + nanos;
        standing = scheduler.after(nanos, this::look);
    }

    private void look() {
        standing = null;
        Runnable due = task;
        if (due == null) {
            return;
        }
        long left = dueAt - System.nanoTime();
        if (left > 0) {
            stand(left);
        } else {
            task = null;
            due.run();
        }
    }

    /** True where something is to run. */
    public boolean isRunning() {
        return task != null;
    }

    /** Runs nothing, unless it is started again. */
    public void stop() {
        task = null;
    }

    /** Stops for good: nothing of it stands any more that would hold its connection. */
    public void end() {
        task = null;
        if (standing != null) {
            standing.cancel(false);
            standing = null;
        }
    }
}
