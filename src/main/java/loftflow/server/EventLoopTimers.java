package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Timers;

/** Timers whose tasks run on a Netty event loop. */
record EventLoopTimers(EventLoop eventLoop) implements Timers {
    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        Future<?> scheduled = eventLoop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }
}
