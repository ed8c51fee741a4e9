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
    void delaysAreRoundedUpToWholeMilliseconds(long nanos, long waited) {
        assertEquals(waited, MillisecondIoHandler.roundUpToMillis(nanos));
    }

    /** A loop with a timer every 400 microseconds sleeps between them; with Netty's own handler it would be busy. */
    @Test
    void timersCloseToEachOtherDoNotKeepTheLoopBusy() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        long id = loop.submit(() -> Thread.currentThread().getId()).sync().getNow();
        long[] left = {1_000};
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            if (--left[0] > 0) {
                loop.schedule(next[0], 400, TimeUnit.MICROSECONDS);
            }
        };
        var threads = ManagementFactory.getThreadMXBean();
        long cpu = threads.getThreadCpuTime(id);
        long start = System.nanoTime();
        loop.execute(next[0]);
        while (loop.submit(() -> left[0]).sync().getNow() > 0) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        double busy = (double) (threads.getThreadCpuTime(id) - cpu) / (System.nanoTime() - start);
        assertTrue(busy < 0.5, "the share of the time that the loop was busy: " + busy);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}
