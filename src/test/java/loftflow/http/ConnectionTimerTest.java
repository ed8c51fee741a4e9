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

/** The timer on a clock and an event loop of the test, which wakes up on time or late as the test says. */
class ConnectionTimerTest {
    private record WakeUp(long dueAtNanos, Runnable task, Promise<Void> promise) {}

    private final List<WakeUp> wakeUps = new ArrayList<>();
    private final List<String> ran = new ArrayList<>();
    private final ConnectionTimer timer = new ConnectionTimer(this::schedule, () -> nowNanos());
    private long nowNanos = Long.MAX_VALUE - TimeUnit.MILLISECONDS.toNanos(30);
    private int scheduled;

    private long nowNanos() {
        return nowNanos;
    }

    private Future<?> schedule(long delayNanos, Runnable task) {
        scheduled++;
        Promise<Void> promise = ImmediateEventExecutor.INSTANCE.newPromise();
        wakeUps.add(new WakeUp(nowNanos + delayNanos, task, promise));
        return promise;
    }

    private void start(long delayMillis, String name) {
        timer.start(delayMillis, TimeUnit.MILLISECONDS, () -> ran.add(name));
    }

    /** Lets time pass while the loop runs each wake-up when it is due. */
    private void passMillis(long millis) {
        long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        for (WakeUp next = nextBefore(end); next != null; next = nextBefore(end)) {
            nowNanos = next.dueAtNanos();
            run(next);
        }
        nowNanos = end;
    }

    /** Lets time pass while the loop is busy; it runs what has become due at the end. */
    private void passMillisLate(long millis) {
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
        assertEquals(1, scheduled);
    }

    /**
     * However often the timer is restarted, one wake-up is scheduled, and a second one when that comes before the task is
     * due; only the last task runs, not before it is due and not after.
     */
    @Test
    void restartSchedulesNoNewWakeUpAndOnlyTheLastTaskRuns() {
        startAndRestart();
        passMillis(19);
        assertEquals(1, scheduled);
        passMillis(1);
        assertEquals(2, scheduled);
        passMillis(39);
        assertEquals(List.of(), ran);
        assertTrue(timer.isRunning());
        passMillis(1);
        assertEquals(List.of("last"), ran);
        assertEquals(2, scheduled);
        assertFalse(timer.isRunning());
        passMillis(1_000);
        assertEquals(List.of("last"), ran);
        assertEquals(2, scheduled);
    }

    /** A first wake-up that comes when the task is due already runs it, and schedules no other. */
    @Test
    void lateWakeUpRunsTheTaskThatIsDue() {
        startAndRestart();
        passMillisLate(70);
        assertEquals(List.of("last"), ran);
        assertEquals(1, scheduled);
    }

    /** A task that is due before the scheduled wake-up is not delayed by it. */
    @Test
    void earlierTaskIsNotDelayedByTheScheduledWakeUp() {
        start(600_000, "late");
        start(1, "early");
        assertTrue(timer.isRunning());
        passMillis(1);
        assertEquals(List.of("early"), ran);
        passMillis(600_000);
        assertEquals(List.of("early"), ran);
    }

    /** A timer that has ended runs nothing and leaves no wake-up. */
    @Test
    void endedTimerRunsNothing() {
        start(1, "ended");
        timer.end();
        assertFalse(timer.isRunning());
        assertTrue(wakeUps.stream().allMatch(wakeUp -> wakeUp.promise().isCancelled()));
        passMillis(20);
        assertEquals(List.of(), ran);
    }
}
