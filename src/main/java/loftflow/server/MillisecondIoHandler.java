package loftflow.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * Wraps Netty's NIO handler and rounds the wait for the next timer up to whole milliseconds. A selector can't wait for
 * less than a millisecond, and Netty's handler rounds to the nearest millisecond, so that it polls the selector in a
 * busy loop for up to half a millisecond before each timer. With one timer per call, the loop would be busy most of the
 * time. The cost of rounding up is that timers fire up to a millisecond late.
 */
final class MillisecondIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;

    private MillisecondIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Returns a factory that creates one handler per event loop. */
    static IoHandlerFactory newFactory() {
        IoHandlerFactory nioFactory = NioIoHandler.newFactory();
        return executor -> new MillisecondIoHandler(nioFactory.newHandler(executor));
    }

    /** Returns a delay in nanoseconds, rounded up to whole milliseconds. */
    static long roundUpToMillis(long delayNanos) {
        // The delay is Long.MAX_VALUE if no timer is set; rounding it up would overflow.
        boolean isRoundable = delayNanos > 0 && delayNanos <= Long.MAX_VALUE - NANOS_PER_MILLI;
        return isRoundable ? (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI : delayNanos;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long nowNanos) {
                return roundUpToMillis(context.delayNanos(nowNanos));
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
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
