package loftflow.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Netty's NIO handler, except that it waits for the next timer in whole milliseconds, rounded up. A selector can't wait
 * for less than a millisecond, and Netty's own handler rounds to the nearest one, so that it polls the selector in a
 * busy loop for up to half a millisecond before each timer. With a timer for each call that is most of the time. The
 * price is that timers fire up to a millisecond late.
 */
final class MillisecondIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler nio;

    private MillisecondIoHandler(IoHandler nio) {
        this.nio = nio;
    }

    /** A factory for the handlers of event loops. */
    static IoHandlerFactory newFactory() {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new MillisecondIoHandler(nio.newHandler(executor));
    }

    /** A delay in nanoseconds, rounded up to whole milliseconds. */
    static long wholeMillis(long delayNanos) {
        // Without a timer the delay is Long.MAX_VALUE, which would overflow.
        boolean isRoundable = delayNanos > 0 && delayNanos <= Long.MAX_VALUE - NANOS_PER_MILLI;
        return isRoundable ? (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI : delayNanos;
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
            public long delayNanos(long nowNanos) {
                return wholeMillis(context.delayNanos(nowNanos));
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
