package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class MillisecondIoHandlerTest {
    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "-5, -5",
        "1, 1000000",
        "400000, 1000000",
        "1000000, 1000000",
        "1000001, 2000000",
        "9223372036854775807, 9223372036854775807"
    })
    void delaysAreRoundedUpToWholeMilliseconds(long delayNanos, long roundedNanos) {
        assertEquals(roundedNanos, MillisecondIoHandler.roundUpToMillis(delayNanos));
    }

    /** An event loop with a timer every 400 microseconds must sleep in between; Netty's handler busy-loops instead. */
    @Test
    void timersCloseToEachOtherDoNotKeepTheEventLoopBusy() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        long threadId = loop.submit(() -> Thread.currentThread().getId()).sync().getNow();
        long[] remainingTimers = {1_000};
        Runnable[] timerTask = new Runnable[1];
        timerTask[0] = () -> {
            if (--remainingTimers[0] > 0) {
                loop.schedule(timerTask[0], 400, TimeUnit.MICROSECONDS);
            }
        };
        var threads = ManagementFactory.getThreadMXBean();
        long cpuNanos = threads.getThreadCpuTime(threadId);
        long start = System.nanoTime();
        loop.execute(timerTask[0]);
        while (loop.submit(() -> remainingTimers[0]).sync().getNow() > 0) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        double busyShare = (double) (threads.getThreadCpuTime(threadId) - cpuNanos) / (System.nanoTime() - start);
        assertTrue(busyShare < 0.5, "share of time in which the event loop was busy: " + busyShare);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}
