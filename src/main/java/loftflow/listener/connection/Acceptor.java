package loftflow.listener.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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
 * A listening socket. It also bounds how long an accepted connection, and the bytes on it, may have been pending.
 */
public final class Acceptor {
    private static final int BACKLOG_CONNECTIONS = 1024;
    /** How long accepting pauses after a failure. */
    private static final long PAUSE_MILLIS = 50;

    private final EventLoopLag eventLoopLag;
    private final Consumer<Channel> initializer;
    private Channel listener;
    /** Since when connections may be pending that the last iteration of the event loop did not accept. */
    private long backlogSinceMicros = Long.MAX_VALUE;

    /**
     * Creates an acceptor that does not listen yet.
     *
     * @param initializer receives each accepted channel, with an empty pipeline
     */
    public Acceptor(EventLoopLag eventLoopLag, Consumer<Channel> initializer) {
        this.eventLoopLag = eventLoopLag;
        this.initializer = initializer;
    }

    /** Listens at an address. */
    public ChannelFuture open(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
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

    /** Accepts connections from the kernel's backlog, which the end of the process would reset. */
    public void acceptPending() {
        ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
    }

    /** Stops listening. */
    public void close() {
        listener.close();
    }

    /** The earliest time at which a connection that is accepted now can have arrived, in microseconds. */
    public long acceptableSince() {
        return Math.min(backlogSinceMicros, eventLoopLag.unreadSinceMicros());
    }

    /** The earliest time at which bytes that are read now can have arrived, in microseconds. */
    public long unreadSince() {
        return eventLoopLag.unreadSinceMicros();
    }

    /**
     * Tracks connections that stay pending over several iterations of the event loop, as one iteration accepts a
     * bounded number.
     */
    private final class BacklogTracker extends ChannelInboundHandlerAdapter {
        private int accepted;
        private long sinceMicros;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            accepted++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean isBacklogEmpty = accepted < ctx.channel().metadata().defaultMaxMessagesPerRead();
            sinceMicros = acceptableSince();
            backlogSinceMicros = isBacklogEmpty ? Long.MAX_VALUE : sinceMicros;
            accepted = 0;
            ctx.fireChannelReadComplete();
        }

        /**
         * Pauses accepting where it fails, which is mostly a temporary lack of file descriptors or memory. The
         * exception ends here: Netty would log it, which opens files, and the event loop would end. Connections stay
         * pending meanwhile.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Log.line("listener: accept failed cause=" + cause);
            backlogSinceMicros = sinceMicros;
            ctx.channel().config().setAutoRead(false);
            ctx.executor()
                    .schedule(() -> ctx.channel().config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
