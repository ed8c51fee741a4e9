package loftflow.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.http.UnreadBytes;

/** One kept connection to discovery's agent that carries one request at a time. */
public final class AgentConnection {
    private static final int LARGEST_ANSWER = 2 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** An agent answers at once. */
    private static final long LEAST_FOR_ANSWER_MS = 100;

    /** What became of a request; {@code status} is 0 where no answer came. */
    public interface Answer {
        void come(int status, String body);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress agent;
    private Channel channel;
    /** How {@link #channel} came up, or is to. */
    private ChannelFuture opening;

    private Answer waiting;
    private ScheduledFuture<?> timeout;

    public AgentConnection(EventLoop loop, InetSocketAddress agent) {
        this(loop, agent, NioSocketChannel::new);
    }

    /** A connection whose sockets are made by a factory, which may fail. */
    public AgentConnection(EventLoop loop, InetSocketAddress agent, ChannelFactory<Channel> sockets) {
        this.loop = loop;
        this.agent = agent;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), new Answers());
                    }
                });
    }

    /**
     * Sends a request; the answer, or the lack of one within the span, is told once and later. Where the connection
     * takes most
     * of it, the answer has {@value #LEAST_FOR_ANSWER_MS} ms still.
     */
    public void request(HttpMethod method, String path, String body, long timeoutMs, Answer answer) {
        if (waiting != null) {
            throw new IllegalStateException("a request is out");
        }
        waiting = answer;
        expectWithin(timeoutMs);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, agent.getHostString() + ":" + agent.getPort());
        HttpUtil.setContentLength(request, request.content().readableBytes());
        open();
        ChannelFuture mine = opening;
        boolean soon = !mine.isDone();
        mine.addListener(connected -> {
            if (!connected.isSuccess()) {
                request.release();
                return;
            }
            if (soon && mine.channel() == channel && timeout.getDelay(TimeUnit.MILLISECONDS) < LEAST_FOR_ANSWER_MS) {
                // Guards against a request whose time is up in the pass that sends it, as its connection has taken all
                // of it:
                // a loop that is short of CPU would give up each one after it too, and never hear an answer.
                timeout.cancel(false);
                expectWithin(LEAST_FOR_ANSWER_MS);
            }
            mine.channel().writeAndFlush(request);
        });
    }

    private void expectWithin(long timeoutMs) {
        timeout = loop.schedule(this::giveUp, timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** True while a request would go out without waiting for a connection. */
    public boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Opens the connection where there is none and none is on its way. */
    public void open() {
        if (channel != null && (channel.isActive() || !opening.isDone())) {
            return;
        }
        ChannelFuture mine = bootstrap.connect(agent);
        opening = mine;
        channel = mine.channel();
        mine.addListener(connected -> {
            if (!connected.isSuccess()) {
                // Guards against a socket that could not even be opened: its failure is told on another thread.
                loop.execute(() -> lost(mine.channel()));
            }
        });
    }

    /** Goes to another address from now on; a request that has no answer yet gets none. */
    public void moveTo(InetSocketAddress next) {
        agent = next;
        drop();
        finish(0, "");
    }

    /** Guards against a socket that could not be opened: to close it throws, and what follows would not be done. */
    private void drop() {
        Channel old = channel;
        channel = null;
        if (old != null && old.isOpen()) {
            old.close();
        }
    }

    /** Guards against the end of an earlier connection that would be taken for the end of this one. */
    private void lost(Channel ended) {
        if (ended == channel) {
            channel = null;
            finish(0, "");
        }
    }

    /** Guards against an agent that fell silent: its late answer must not be taken for the next one's. */
    private void giveUp() {
        ScheduledFuture<?> due = timeout;
        UnreadBytes.read(channel);
        // Guards against giving up the next request, which the answer that has just been read has led to.
        if (waiting != null && timeout == due) {
            drop();
            finish(0, "");
        }
    }

    private void finish(int status, String body) {
        if (waiting != null) {
            Answer answer = waiting;
            waiting = null;
            timeout.cancel(false);
            answer.come(status, body);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel) {
                return;
            }
            // Guards against an answer that nobody asked for: the next one would be taken for another request's.
            if (waiting == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
                channel = null;
            }
            finish(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
