package loftflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ConnectionTimerTest {
    /**
     * However often the timer is restarted, one wake-up is scheduled; only the last task runs, and not before it is due.
     */
    @Test
    void restartSchedulesNoNewWakeUpAndOnlyTheLastTaskRuns() throws Exception {
        DefaultEventLoop loop = new DefaultEventLoop();
        AtomicInteger scheduled = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        ConnectionTimer timer = new ConnectionTimer((nanos, task) -> {
            scheduled.incrementAndGet();
            return loop.schedule(task, nanos, TimeUnit.NANOSECONDS);
        });
        long start = System.nanoTime();
        loop.submit(() -> {
                    timer.start(20, TimeUnit.MILLISECONDS, () -> ran.addAndGet(1));
                    for (int i = 0; i < 1_000; i++) {
                        timer.stop();
                        timer.start(60, TimeUnit.MILLISECONDS, () -> ran.addAndGet(100));
                    }
                })
                .sync();
        assertEquals(1, scheduled.get());
        while (ran.get() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(60));
        assertEquals(100, ran.get());
        assertEquals(2, scheduled.get());
        // An earlier task is not delayed by the scheduled wake-up; an ended timer runs nothing.
        loop.submit(() -> {
                    timer.start(10, TimeUnit.MINUTES, () -> ran.addAndGet(1_000));
                    timer.start(1, TimeUnit.MILLISECONDS, () -> ran.addAndGet(10));
                    assertTrue(timer.isRunning());
                })
                .sync();
        while (ran.get() == 100) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        loop.submit(() -> {
                    timer.start(1, TimeUnit.MILLISECONDS, () -> ran.addAndGet(1_000));
                    timer.end();
                })
                .sync();
        TimeUnit.MILLISECONDS.sleep(20);
        assertFalse(timer.isRunning());
        assertEquals(110, ran.get());
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}
