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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.http.StrictResponseDecoder;
import loftflow.http.UnreadBytes;

/**
 * A persistent HTTP/1.1 connection to the platform's agent that carries one request at a time. It is opened again when
 * a request needs it. To be used on its event loop.
 */
public final class AgentConnection {
    private static final int MAX_RESPONSE_BYTES = 2 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** What a request has at least once its connection is open; an agent on this machine answers at once. */
    private static final long MIN_RESPONSE_TIMEOUT_MILLIS = 100;

    private static final int NO_RESPONSE = 0;

    /** Receives the outcome of a request; {@code status} is 0, and the body empty, where no response came. */
    public interface ResponseHandler {
        void onResponse(int status, String body);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress agent;
    /** Null where there is no connection and none is being opened. */
    private Channel channel;
    /** The connection attempt of {@link #channel}. */
    private ChannelFuture connecting;

    /** Null where no request is out. */
    private ResponseHandler pending;

    private ScheduledFuture<?> timeout;

    public AgentConnection(EventLoop loop, InetSocketAddress agent) {
        this(loop, agent, NioSocketChannel::new);
    }

    /** A connection whose sockets a factory creates, which may fail. */
    AgentConnection(EventLoop loop, InetSocketAddress agent, ChannelFactory<Channel> sockets) {
        this.loop = loop;
        this.agent = agent;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        StrictResponseDecoder decoder = new StrictResponseDecoder();
                        ch.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        decoder,
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ResponseReader(decoder));
                    }
                });
    }

    /**
     * Sends a request. The handler runs once and later, with the response or with none after the timeout. Where the
     * connection attempt takes most of the timeout, the response has {@value #MIN_RESPONSE_TIMEOUT_MILLIS} ms still.
     *
     * @throws IllegalStateException where a request is out
     */
    public void request(HttpMethod method, String path, String body, long timeoutMillis, ResponseHandler handler) {
        if (pending != null) {
            throw new IllegalStateException("a request is out");
        }
        pending = handler;
        startTimeout(timeoutMillis);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, agent.getHostString() + ":" + agent.getPort());
        HttpUtil.setContentLength(request, request.content().readableBytes());
        open();
        ChannelFuture attempt = connecting;
        boolean hadToConnect = !attempt.isDone();
        attempt.addListener(connected -> {
            if (!connected.isSuccess()) {
                request.release();
                return;
            }
            if (hadToConnect && attempt.channel() == channel) {
                extendTimeout();
            }
            attempt.channel().writeAndFlush(request);
        });
    }

    private void startTimeout(long timeoutMillis) {
        timeout = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Leaves a request that waited for its connection some time for the response. Otherwise an event loop that is short
     * of CPU could send each request in the iteration in which it times out, and never receive a response.
     */
    private void extendTimeout() {
        if (timeout.getDelay(TimeUnit.MILLISECONDS) < MIN_RESPONSE_TIMEOUT_MILLIS) {
            timeout.cancel(false);
            startTimeout(MIN_RESPONSE_TIMEOUT_MILLIS);
        }
    }

    /** True while a request would be sent without waiting for a connection. */
    public boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Opens the connection where there is none and none is being opened. */
    public void open() {
        if (channel != null && (channel.isActive() || !connecting.isDone())) {
            return;
        }
        ChannelFuture attempt = bootstrap.connect(agent);
        connecting = attempt;
        channel = attempt.channel();
        attempt.addListener(connected -> {
            if (!connected.isSuccess()) {
                // Where the socket could not even be created, this runs on another thread.
                loop.execute(() -> onClosed(attempt.channel()));
            }
        });
    }

    /** Connects to another address from now on; a request that is out gets no response. */
    public void moveTo(InetSocketAddress next) {
        agent = next;
        close();
        finish(NO_RESPONSE, "");
    }

    /** Closes the connection. A socket that could not be opened is left alone, since closing it throws. */
    private void close() {
        Channel old = channel;
        channel = null;
        if (old != null && old.isOpen()) {
            old.close();
        }
    }

    /** Ends a request with its connection; an earlier connection that closes late does not matter. */
    private void onClosed(Channel closed) {
        if (closed == channel) {
            channel = null;
            finish(NO_RESPONSE, "");
        }
    }

    /**
     * Ends a request whose response has not come, unless it lies unread in the socket. The connection is closed, as a
     * late response would be read as the next request's.
     */
    private void onTimeout() {
        ScheduledFuture<?> expired = timeout;
        UnreadBytes.read(channel);
        // A response that has just been read may have led to the next request, which has a timeout of its own.
        if (pending != null && timeout == expired) {
            close();
            finish(NO_RESPONSE, "");
        }
    }

    private void finish(int status, String body) {
        if (pending != null) {
            ResponseHandler handler = pending;
            pending = null;
            timeout.cancel(false);
            handler.onResponse(status, body);
        }
    }

    private final class ResponseReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final StrictResponseDecoder decoder;

        ResponseReader(StrictResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || isInterim(response)) {
                return;
            }
            if (isMalformed(response)) {
                close();
                finish(NO_RESPONSE, "");
                return;
            }
            decoder.awaitResponse();
            // Behind a response that no request caused, responses can't be attributed to requests any more.
            if (pending == null || !HttpUtil.isKeepAlive(response)) {
                ctx.close();
                channel = null;
            }
            finish(response.status().code(), response.content().toString(StandardCharsets.UTF_8));
        }

        /** Returns true for a 1xx response, which the final one follows. */
        private static boolean isInterim(FullHttpResponse response) {
            return response.decoderResult().isSuccess()
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        }

        /** Returns true for a response that proves nothing: what the agent has read or sent is not known. */
        private boolean isMalformed(FullHttpResponse response) {
            return response.decoderResult().isFailure()
                    || !StrictResponseDecoder.isTransferCodingKnown(response)
                    || decoder.isMalformed()
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onClosed(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
