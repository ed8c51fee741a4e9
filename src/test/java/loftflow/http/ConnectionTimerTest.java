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
     * However often it starts again, one task stands with the loop; the last one alone runs, and not before its time.
     */
    @Test
    void startingAgainCostsNothingAndOnlyTheLastTaskRuns() throws Exception {
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
        // A sooner task is not kept waiting for what stands; a stopped timer runs nothing; an ended one leaves nothing
        // behind.
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
