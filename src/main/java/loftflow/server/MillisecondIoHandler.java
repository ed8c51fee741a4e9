package loftflow.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Netty's handler of sockets, which waits for the next timer in whole milliseconds, rounded up. A selector knows no
 * shorter
 * span: rounded to the nearest, as the handler does by itself, the last half millisecond before each timer is spent in
 * looking
 * again and again, and with a timer for each call that is most of the time. Timers fire up to a millisecond late
 * instead.
 */
final class MillisecondIoHandler implements IoHandler {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler nio;

    private MillisecondIoHandler(IoHandler nio) {
        this.nio = nio;
    }

    /** Makes handlers for event loops. */
    static IoHandlerFactory newFactory() {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new MillisecondIoHandler(nio.newHandler(executor));
    }

    /** Nanoseconds that a selector really waits for, where a timer is due in so many. */
    static long wholeMillis(long nanos) {
        // Guards against an overflow: without a timer the span is the longest there is.
        return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI ? nanos : (nanos + MILLI - 1) / MILLI * MILLI;
    }

    @Override
    public void initialize() {
        nio.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return nio.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long now) {
                return wholeMillis(context.delayNanos(now));
            }

            @Override
            public long deadlineNanos() {
                return context.deadlineNanos();
            }

            @Override
            public void reportActiveIoTime(long nanos) {
                context.reportActiveIoTime(nanos);
            }

            @Override
            public boolean shouldReportActiveIoTime() {
                return context.shouldReportActiveIoTime();
            }
        });
    }

    @Override
    public void prepareToDestroy() {
        nio.prepareToDestroy();
    }

    @Override
    public void destroy() {
        nio.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return nio.register(handle);
    }

    @Override
    public void wakeup() {
        nio.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return nio.isCompatible(type);
    }
}
