package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Timers;

/** Timers of the one event loop. */
record EventLoopTimers(EventLoop loop) implements Timers {
    @Override
    public Timer schedule(long micros, Runnable task) {
        Future<?> due = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
        return () -> due.cancel(false);
    }
}
