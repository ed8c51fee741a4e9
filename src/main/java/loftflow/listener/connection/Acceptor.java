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

/** A listening socket, and since when what it accepts may have waited. */
public final class Acceptor {
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MS = 50;

    private final EventLoopLag pulse;
    private final Consumer<Channel> accept;
    private Channel listener;
    /** Since when connections may have waited to be accepted that the last pass left behind. */
    private long leftSince = Long.MAX_VALUE;

    /** A door that is shut still; what it accepts is told with nothing in its pipeline. */
    public Acceptor(EventLoopLag pulse, Consumer<Channel> accept) {
        this.pulse = pulse;
        this.accept = accept;
    }

    /** Listens at an address. */
    public ChannelFuture open(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Backlog())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept.accept(ch);
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /**
     * Accepts what waits. Guards against a connection that the kernel alone has taken, which the end of the process
     * would reset.
     */
    public void takeIn() {
        ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
    }

    /** Takes no new connection from now on. */
    public void shut() {
        listener.close();
    }

    /** The earliest time at which a connection that is accepted now can have come. */
    public long acceptableSince() {
        return Math.min(leftSince, pulse.unreadSince());
    }

    /** The earliest time at which bytes that are read now can have come. */
    public long unreadSince() {
        return pulse.unreadSince();
    }

    /** Guards against connections that wait for several passes, as one accepts only so many. */
    private final class Backlog extends ChannelInboundHandlerAdapter {
        private int accepted;
        private long since;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object child) {
            accepted++;
            ctx.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean all = accepted < ctx.channel().metadata().defaultMaxMessagesPerRead();
            since = acceptableSince();
            leftSince = all ? Long.MAX_VALUE : since;
            accepted = 0;
            ctx.fireChannelReadComplete();
        }

        /**
         * Guards against a lack of descriptors or memory, which is over soon, that would end the event loop: Netty
         * logs what nobody takes, and logging opens files. Those that connect meanwhile wait a little longer.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Log.line("can't accept: " + cause);
            leftSince = since;
            ctx.channel().config().setAutoRead(false);
            ctx.executor().schedule(() -> ctx.channel().config().setAutoRead(true), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
