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
import io.netty.handler.codec.http.FullHttpRequest;
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
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.http.SelectiveHeaders;
import loftflow.http.StrictResponseDecoder;
import loftflow.http.UnreadBytes;
import loftflow.log.Log;

/**
 * A persistent HTTP/1.1 connection to the platform's agent that carries one request at a time. A closed connection is
 * reopened by the next request. Must be used on its event loop.
 *
 * <p>A response is matched to a request by its position on the connection, so a second copy of a response would be read
 * as the response to a later request. Where responses name nothing, each request can have a connection of its own
 * ({@link Reuse#IF_UNAVOIDABLE}): the next one is opened as soon as a response has come, and the one before it is used
 * again only while the agent accepts no connections.
 */
public final class AgentConnection {
    /** The longest list of endpoints. */
    private static final int MAX_LIST_BYTES = 2 << 20;
    /** A response is held several times while it is decoded and parsed. */
    private static final int RESPONSE_HEAP_DIVISOR = 16;
    /** The longest response whose body means nothing. */
    private static final int MAX_ACKNOWLEDGEMENT_BYTES = 64 << 10;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** The minimum time for the response once the connection is open. A local agent responds well within it. */
    private static final long MIN_RESPONSE_TIMEOUT_MILLIS = 100;

    /** How long a request waits for a connection of its own before it reuses the one before it. */
    private static final int MAX_SUCCESSOR_WAIT_MILLIS = 50;

    private static final int NO_RESPONSE = 0;
    private static final SelectiveHeaders.Factory HEADERS = SelectiveHeaders.Factory.ofMessages(List.of(), false);

    /** When a connection carries more than one request. */
    public enum Reuse {
        ALWAYS,
        /** Only while no other connection to the agent can be opened; for responses whose body means nothing. */
        IF_UNAVOIDABLE
    }

    /** Receives the outcome of a request. */
    public interface ResponseHandler {
        /**
         * Reports the outcome of a request.
         *
         * @param status the status of the response; 0 if there is none
         * @param body the body of the response; empty if there is none
         */
        void onResponse(int status, String body);
    }

    private final EventLoop loop;
    private final Reuse reuse;
    private final int maxResponseBytes;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    /** The open or opening connection; null if there is none. */
    private Channel channel;
    /** The connection attempt of {@link #channel}. */
    private ChannelFuture connectFuture;
    /** Whether {@link #channel} has carried a request. */
    private boolean isUsed;
    /** The opening connection that will take the place of {@link #channel}; null if there is none. */
    private ChannelFuture successor;
    /** The request in progress while it waits for a connection; null if it has been written or there is none. */
    private FullHttpRequest unwrittenRequest;

    /** The handler of the request in progress; null if there is none. */
    private ResponseHandler pendingHandler;

    private ScheduledFuture<?> timeout;

    /** Creates a connection, which is opened by {@link #open} or the first request. */
    public AgentConnection(EventLoop loop, InetSocketAddress address) {
        this(loop, address, NioSocketChannel::new);
    }

    /** Creates a connection that reuses its socket as given. */
    public AgentConnection(EventLoop loop, InetSocketAddress address, Reuse reuse) {
        this(loop, address, NioSocketChannel::new, reuse);
    }

    /** Creates a connection that obtains its sockets from a factory, which may throw. */
    AgentConnection(EventLoop loop, InetSocketAddress address, ChannelFactory<Channel> sockets) {
        this(loop, address, sockets, Reuse.ALWAYS);
    }

    private AgentConnection(EventLoop loop, InetSocketAddress address, ChannelFactory<Channel> sockets, Reuse reuse) {
        this.loop = loop;
        this.reuse = reuse;
        this.address = address;
        maxResponseBytes = reuse == Reuse.ALWAYS ? maxListBytes() : MAX_ACKNOWLEDGEMENT_BYTES;
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        StrictResponseDecoder decoder = new StrictResponseDecoder(HEADERS);
                        newChannel
                                .pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        decoder,
                                        new HttpObjectAggregator(maxResponseBytes),
                                        new ResponseReader(decoder));
                    }
                });
    }

    private static int maxListBytes() {
        return (int) Math.min(MAX_LIST_BYTES, Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR);
    }

    /**
     * Sends a request. The handler is called once, with the response or with none if the connection fails or the
     * timeout expires. It is never called before this method returns. If opening the connection takes most of the
     * timeout, the timeout is extended to leave {@value #MIN_RESPONSE_TIMEOUT_MILLIS} ms for the response.
     *
     * @throws IllegalStateException if another request is in progress
     */
    public void request(HttpMethod method, String path, String body, long timeoutMillis, ResponseHandler handler) {
        if (pendingHandler != null) {
            throw new IllegalStateException("another request to the agent is in progress");
        }
        pendingHandler = handler;
        startTimeout(timeoutMillis);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setContentLength(request, request.content().readableBytes());
        unwrittenRequest = request;
        if (mustReplace()) {
            openSuccessor();
            loop.schedule(() -> writeOnOpenConnection(request), MAX_SUCCESSOR_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            writeOnOpenConnection(request);
        }
    }

    /** Returns whether the connection has carried a request and another one is to carry the next. */
    private boolean mustReplace() {
        return reuse == Reuse.IF_UNAVOIDABLE && isUsed && isOpen();
    }

    /** Opens the connection for the next request, unless it is being opened. */
    private void openSuccessor() {
        if (successor != null) {
            return;
        }
        ChannelFuture attempt = bootstrap.connect(address);
        successor = attempt;
        // If the socket could not be created, this listener runs on another thread.
        attempt.addListener(connected -> loop.execute(() -> onSuccessorConnected(attempt)));
    }

    /** Replaces the connection, unless a request is in progress on it, and writes the request that waits for that. */
    private void onSuccessorConnected(ChannelFuture attempt) {
        if (successor != attempt) {
            closeIfOpen(attempt.channel());
            return;
        }
        successor = null;
        boolean isInUse = pendingHandler != null && unwrittenRequest == null;
        if (attempt.isSuccess() && !isInUse) {
            Channel replaced = channel;
            channel = attempt.channel();
            connectFuture = attempt;
            isUsed = false;
            closeIfOpen(replaced);
        } else {
            closeIfOpen(attempt.channel());
        }
        if (unwrittenRequest != null) {
            writeOnOpenConnection(unwrittenRequest);
        }
    }

    /** Writes a request, unless it has been written or ended, on the connection or on a new one if it has closed. */
    private void writeOnOpenConnection(FullHttpRequest request) {
        if (unwrittenRequest != request) {
            return;
        }
        open();
        ChannelFuture attempt = connectFuture;
        boolean hadToConnect = !attempt.isDone();
        attempt.addListener(connected -> {
            if (connected.isSuccess() && unwrittenRequest == request && attempt.channel() == channel) {
                if (hadToConnect) {
                    extendTimeout();
                }
                unwrittenRequest = null;
                isUsed = true;
                channel.writeAndFlush(request);
            }
        });
    }

    private void startTimeout(long timeoutMillis) {
        timeout = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Extends the timeout of a request that waited for its connection. Otherwise an event loop that is short of CPU
     * could send every request in the iteration in which it times out, and never receive a response.
     */
    private void extendTimeout() {
        if (timeout.getDelay(TimeUnit.MILLISECONDS) < MIN_RESPONSE_TIMEOUT_MILLIS) {
            timeout.cancel(false);
            startTimeout(MIN_RESPONSE_TIMEOUT_MILLIS);
        }
    }

    /** Returns whether the connection is established, so that a request would be sent at once. */
    public boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Opens the connection unless it is open or being opened. */
    public void open() {
        if (channel != null && (channel.isActive() || !connectFuture.isDone())) {
            return;
        }
        ChannelFuture attempt = bootstrap.connect(address);
        connectFuture = attempt;
        channel = attempt.channel();
        isUsed = false;
        attempt.addListener(connected -> {
            if (!connected.isSuccess()) {
                // If the socket could not be created, this listener runs on another thread.
                loop.execute(() -> onClosed(attempt.channel()));
            }
        });
    }

    /** Connects to another address from now on, and ends a request in progress without a response. */
    public void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        close();
    }

    /** Closes the connection for good; a request in progress ends without a response. */
    public void close() {
        disconnect();
        completeRequest(NO_RESPONSE, "");
    }

    /** Closes the socket, unless it could not be created: closing such a channel throws. */
    private void disconnect() {
        closeIfOpen(channel);
        channel = null;
        successor = null;
    }

    /** Reads a response that has arrived and has not been read, and reports it. */
    public void readPending() {
        if (channel != null) {
            UnreadBytes.read(channel);
        }
    }

    private static void closeIfOpen(Channel closed) {
        if (closed != null && closed.isOpen()) {
            closed.close();
        }
    }

    /** Ends the request in progress if its connection has closed; ignores the late close of an earlier connection. */
    private void onClosed(Channel closed) {
        if (closed == channel) {
            channel = null;
            completeRequest(NO_RESPONSE, "");
        }
    }

    /**
     * Ends the request in progress, unless its response is still unread in the socket. The connection is closed, since
     * a late response would be read as the response to the next request.
     */
    private void onTimeout() {
        ScheduledFuture<?> expired = timeout;
        readPending();
        // The handler of a response that was just read may have sent the next request, with a timeout of its own.
        if (pendingHandler != null && timeout == expired) {
            close();
        }
    }

    private void completeRequest(int status, String body) {
        if (pendingHandler != null) {
            ResponseHandler handler = pendingHandler;
            pendingHandler = null;
            releaseUnwritten();
            timeout.cancel(false);
            handler.onResponse(status, body);
        }
    }

    private void releaseUnwritten() {
        if (unwrittenRequest != null) {
            unwrittenRequest.release();
            unwrittenRequest = null;
        }
    }

    private record Response(int status, String body, boolean isKeepAlive) {}

    private final class ResponseReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final StrictResponseDecoder decoder;
        /** The response to the request in progress until the read that completes it has ended; null if none. */
        private Response received;

        ResponseReader(StrictResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || isInterim(response)) {
                return;
            }
            if (isMalformed(response)) {
                onSurplusBytes();
                return;
            }
            decoder.awaitResponse();
            boolean isUnsolicited = pendingHandler == null || unwrittenRequest != null || received != null;
            if (isUnsolicited) {
                onUnsolicited(ctx, response);
            } else {
                received = new Response(
                        response.status().code(),
                        response.content().toString(StandardCharsets.UTF_8),
                        HttpUtil.isKeepAlive(response));
            }
        }

        /** After a response without a request, later responses cannot be matched to requests. */
        private void onUnsolicited(ChannelHandlerContext ctx, FullHttpResponse response) {
            Log.line("agent: unsolicited response status=" + response.status().code());
            ctx.close();
            channel = null;
            if (received != null) {
                complete(received);
            }
        }

        /**
         * Handles bytes that are no response. Those behind a response may be its own, so that its length did not fit;
         * only a body that is parsed shows that it is whole.
         */
        private void onSurplusBytes() {
            Response first = received;
            received = null;
            disconnect();
            boolean isBodyParsed = reuse == Reuse.ALWAYS;
            if (first != null && isBodyParsed) {
                complete(first);
            } else {
                completeRequest(NO_RESPONSE, "");
            }
        }

        private void complete(Response response) {
            received = null;
            completeRequest(response.status(), response.body());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (received == null) {
                return;
            }
            if (decoder.hasLeftover()) {
                onSurplusBytes();
                return;
            }
            if (!received.isKeepAlive()) {
                ctx.close();
                channel = null;
            }
            if (mustReplace()) {
                openSuccessor();
            }
            complete(received);
        }

        /** Returns whether the response is a 1xx response that is followed by the final one. */
        private static boolean isInterim(FullHttpResponse response) {
            return response.decoderResult().isSuccess()
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        }

        /** Returns whether the response is malformed, so that it is unknown what the agent has read or sent. */
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
