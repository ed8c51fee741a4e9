package loftflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The timer with a simulated clock and a simulated event loop, which runs wake-ups on time or late. */
class ConnectionTimerTest {
    private record WakeUp(long dueAtNanos, Runnable task, Promise<Void> promise) {}

    private final List<WakeUp> wakeUps = new ArrayList<>();
    private final List<String> completedTasks = new ArrayList<>();
    private final ConnectionTimer timer = new ConnectionTimer(this::schedule, () -> nowNanos());
    private long nowNanos = Long.MAX_VALUE - TimeUnit.MILLISECONDS.toNanos(30);
    private int scheduledWakeUps;

    private long nowNanos() {
        return nowNanos;
    }

    private Future<?> schedule(long delayNanos, Runnable task) {
        scheduledWakeUps++;
        Promise<Void> promise = ImmediateEventExecutor.INSTANCE.newPromise();
        wakeUps.add(new WakeUp(nowNanos + delayNanos, task, promise));
        return promise;
    }

    private void start(long delayMillis, String name) {
        timer.start(delayMillis, TimeUnit.MILLISECONDS, () -> completedTasks.add(name));
    }

    /** Advances the clock; the simulated event loop runs each wake-up when it is due. */
    private void advanceMillis(long millis) {
        long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        for (WakeUp next = nextBefore(end); next != null; next = nextBefore(end)) {
            nowNanos = next.dueAtNanos();
            run(next);
        }
        nowNanos = end;
    }

    /** Advances the clock while the simulated event loop is blocked; it runs the overdue wake-ups at the end. */
    private void advanceMillisWhileBlocked(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        for (WakeUp next = nextBefore(nowNanos); next != null; next = nextBefore(nowNanos)) {
            run(next);
        }
    }

    private WakeUp nextBefore(long end) {
        return wakeUps.stream()
                .filter(wakeUp -> !wakeUp.promise().isCancelled() && wakeUp.dueAtNanos() - end <= 0)
                .min(Comparator.comparingLong(wakeUp -> wakeUp.dueAtNanos() - end))
                .orElse(null);
    }

    private void run(WakeUp wakeUp) {
        wakeUps.remove(wakeUp);
        wakeUp.task().run();
    }

    private void startAndRestart() {
        start(20, "first");
        for (int i = 0; i < 1_000; i++) {
            timer.stop();
            start(60, "last");
        }
        assertEquals(1, scheduledWakeUps);
    }

    /**
     * Any number of restarts schedules only one wake-up, which schedules a second one if the task is not due yet. Only
     * the last task runs, exactly when it is due.
     */
    @Test
    void restartsShareOneWakeUpAndOnlyTheLastTaskRuns() {
        startAndRestart();
        advanceMillis(19);
        assertEquals(1, scheduledWakeUps);
        advanceMillis(1);
        assertEquals(2, scheduledWakeUps);
        advanceMillis(39);
        assertEquals(List.of(), completedTasks);
        assertTrue(timer.isRunning());
        advanceMillis(1);
        assertEquals(List.of("last"), completedTasks);
        assertEquals(2, scheduledWakeUps);
        assertFalse(timer.isRunning());
        advanceMillis(1_000);
        assertEquals(List.of("last"), completedTasks);
        assertEquals(2, scheduledWakeUps);
    }

    /** A late first wake-up runs a task that is already due and schedules no second wake-up. */
    @Test
    void lateWakeUpRunsTheDueTask() {
        startAndRestart();
        advanceMillisWhileBlocked(70);
        assertEquals(List.of("last"), completedTasks);
        assertEquals(1, scheduledWakeUps);
    }

    /** A task that is due before the scheduled wake-up runs on time. */
    @Test
    void earlierTaskIsNotDelayedByTheScheduledWakeUp() {
        start(600_000, "late");
        start(1, "early");
        assertTrue(timer.isRunning());
        advanceMillis(1);
        assertEquals(List.of("early"), completedTasks);
        advanceMillis(600_000);
        assertEquals(List.of("early"), completedTasks);
    }

    /** An ended timer runs no task and leaves no wake-up scheduled. */
    @Test
    void endedTimerRunsNothing() {
        start(1, "ended");
        timer.end();
        assertFalse(timer.isRunning());
        assertTrue(wakeUps.stream().allMatch(wakeUp -> wakeUp.promise().isCancelled()));
        advanceMillis(20);
        assertEquals(List.of(), completedTasks);
    }
}
