package pipitstage.front.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import pipitstage.engine.Clock;
import pipitstage.engine.Intake;
import pipitstage.engine.Pulse;
import pipitstage.front.Front;
import pipitstage.log.Log;

/** Listens for clients and keeps their connections, and what they have half sent, within bounds. */
public final class ClientServer implements Front {
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MS = 50;
    private static final int MOST_BUFFERED = 4 << 20;
    private static final int ALWAYS_BUFFERED = 4 << 10;

    private final Intake intake;
    private final Clock clock;
    private final Pulse pulse;
    private final int mostConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Connections that have sent nothing yet, and those that are idle since their last answer, oldest first. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private Channel listener;
    /** Since when connections may have waited to be accepted that the last pass left behind. */
    private long leftSince = Long.MAX_VALUE;
    private int buffered;
    private boolean draining;

    /** A front for so many connections at the most. */
    public ClientServer(Intake intake, Clock clock, Pulse pulse, int mostConnections) {
        this.intake = intake;
        this.clock = clock;
        this.pulse = pulse;
        this.mostConnections = mostConnections;
    }

    /** Listens for clients at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .handler(new Backlog()).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ClientConnection(ClientServer.this, intake, clock).handlers());
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
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

    /** The earliest time at which a connection that is accepted now can have come. */
    long acceptableSince() {
        return Math.min(leftSince, pulse.unreadSince());
    }

    /** The earliest time at which bytes that are read now can have come. */
    long unreadSince() {
        return pulse.unreadSince();
    }

    /** Closes connections as they fall idle; whatever a client has begun to send is still answered. */
    @Override
    public void drain() {
        draining = true;
        List.copyOf(silent).forEach(ClientConnection::close);
        List.copyOf(idle).forEach(ClientConnection::close);
    }

    boolean isDraining() {
        return draining;
    }

    /** True where every request that was begun has its answer. */
    @Override
    public boolean isIdle() {
        return connections.stream().allMatch(c -> silent.contains(c) || idle.contains(c) || c.isEnding());
    }

    /** True while a request that was read whole has no answer yet. */
    @Override
    public boolean isAnswering() {
        return connections.stream().anyMatch(ClientConnection::isAnswering);
    }

    /** Takes no new connection from now on. */
    @Override
    public void stopListening() {
        listener.close();
    }

    /** Guards against clients that take every descriptor: the ones that have stood longest go first. */
    void opened(ClientConnection connection) {
        if (connections.size() >= mostConnections) {
            Set<ClientConnection> standing = silent.isEmpty() ? idle : silent;
            ClientConnection first = standing.isEmpty() ? connection : standing.iterator().next();
            // Guards against a house that fills further: its end is told later, and others come in the same pass.
            closed(first);
            first.close();
            if (first == connection) {
                return;
            }
        }
        connections.add(connection);
        silent.add(connection);
    }

    void began(ClientConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
    }

    void fellIdle(ClientConnection connection) {
        idle.add(connection);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        silent.remove(connection);
        idle.remove(connection);
    }

    /**
     * Counts bytes that connections hold for requests; false where there is no room for more. Small requests
     * always have room.
     */
    boolean buffer(int bytes, int request) {
        if (buffered + bytes > MOST_BUFFERED && request > ALWAYS_BUFFERED) {
            return false;
        }
        buffered += bytes;
        return true;
    }

    void unbuffer(int bytes) {
        buffered -= bytes;
    }
}
