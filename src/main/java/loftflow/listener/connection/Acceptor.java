package loftflow.listener.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.engine.EventLoopLag;
import loftflow.log.Log;

/**
 * A listening socket. It also tracks the earliest time at which an accepted connection, and bytes that are read from
 * it, can have arrived.
 */
public final class Acceptor {
    private static final int BACKLOG_CONNECTIONS = 1024;
    /** The pause after a failure to accept a connection. */
    private static final long PAUSE_MILLIS = 50;

    private static final int MAX_SOCKET_ATTEMPTS = 100;
    private static final long SOCKET_RETRY_MILLIS = 50;

    private final EventLoopLag eventLoopLag;
    private final Consumer<Channel> initializer;
    private Channel listener;
    /**
     * The earliest arrival time of connections that the last event-loop iteration left in the backlog;
     * {@link Long#MAX_VALUE} if it left none.
     */
    private long backlogSinceMicros = Long.MAX_VALUE;

    /**
     * Creates an acceptor, which listens once {@link #open} is called.
     *
     * @param initializer receives each accepted channel, with an empty pipeline
     */
    public Acceptor(EventLoopLag eventLoopLag, Consumer<Channel> initializer) {
        this.eventLoopLag = eventLoopLag;
        this.initializer = initializer;
    }

    /**
     * Starts to listen at an address. Blocks the calling thread while the system has no socket to give, for
     * {@value #MAX_SOCKET_ATTEMPTS} times {@value #SOCKET_RETRY_MILLIS} ms at most.
     */
    public ChannelFuture open(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(Acceptor::openSocket)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new BacklogTracker())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    private static NioServerSocketChannel openSocket() {
        for (int attempt = 1; ; attempt++) {
            try {
                return new NioServerSocketChannel();
            } catch (ChannelException e) {
                if (attempt == MAX_SOCKET_ATTEMPTS) {
                    throw e;
                }
                Log.line("listener: no socket cause=" + e.getMessage());
                pause(e);
            }
        }
    }

    private static void pause(ChannelException failure) {
        try {
            TimeUnit.MILLISECONDS.sleep(SOCKET_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure;
        }
    }

    /** Accepts the connections in the kernel's backlog, which are reset when the process exits. */
    public void acceptPending() {
        ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
    }

    /** Stops listening. */
    public void close() {
        listener.close();
    }

    /** Returns the earliest time at which a connection that is accepted now can have arrived, in microseconds. */
    public long earliestConnectionArrivalMicros() {
        return Math.min(backlogSinceMicros, eventLoopLag.unreadSinceMicros());
    }

    /** Returns the earliest time at which bytes that are read now can have arrived, in microseconds. */
    public long earliestByteArrivalMicros() {
        return eventLoopLag.unreadSinceMicros();
    }

    /**
     * Tracks whether connections stay in the backlog over several event-loop iterations. One iteration accepts a
     * bounded number.
     */
    private final class BacklogTracker extends ChannelInboundHandlerAdapter {
        private int accepted;
        private long iterationSinceMicros;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            accepted++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean isBacklogEmpty = accepted < ctx.channel().metadata().defaultMaxMessagesPerRead();
            iterationSinceMicros = earliestConnectionArrivalMicros();
            backlogSinceMicros = isBacklogEmpty ? Long.MAX_VALUE : iterationSinceMicros;
            accepted = 0;
            ctx.fireChannelReadComplete();
        }

        /**
         * Pauses accepting after a failure, which usually is a temporary lack of file descriptors or memory.
         * Connections stay in the backlog during the pause. The exception is not passed on: Netty would log it, which
         * opens files, and a failure of that would terminate the event loop.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Log.line("listener: accept failed cause=" + cause.getMessage());
            backlogSinceMicros = iterationSinceMicros;
            ctx.channel().config().setAutoRead(false);
            ctx.executor()
                    .schedule(() -> ctx.channel().config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
