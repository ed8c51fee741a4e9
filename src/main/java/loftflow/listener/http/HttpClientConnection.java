package loftflow.listener.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.http.ConnectionTimer;
import loftflow.http.UnreadBytes;
import loftflow.listener.connection.ArrivalTimeBound;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.Exchange;
import loftflow.listener.request.MessageRequest;

/**
 * The connection of one client: reads its requests, answers them in order, and closes it where the client stalls. Every
 * request that was received whole gets exactly one response, unless the connection breaks.
 */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Pipelined requests that are buffered; reading pauses at that number. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    /** How long the connection stays half-closed after its last response, for the client to read it. */
    private static final long LINGER_MILLIS = 2000;

    private final HttpListener listener;
    private final MessageAcceptor messageAcceptor;
    private final Clock clock;
    /** Complete requests that wait for the response to an earlier one. */
    private final ArrayDeque<HttpRequestReader> pipelined = new ArrayDeque<>();

    private final Exchange exchange;
    private ChannelHandlerContext context;
    /** The context of the encoder: bytes that are written from there are sent unchanged. */
    private ChannelHandlerContext encoder;

    private ArrivalTimeBound arrivalTimeBound;
    private long earliestArrivalMicros;
    private boolean isIdle = true;
    private boolean hasResponded;
    private boolean isKeepAlive;
    /** The request that is being received; null between requests. */
    private HttpRequestReader reading;

    private boolean isHandling;
    private boolean isAwaitingResponse;
    /** The last response, to a request that is not acceptable; nothing after that request is read. */
    private ClientResponse rejection;

    private boolean isClosing;
    private int reservedBytes;
    private final ConnectionTimer timer =
            new ConnectionTimer((nanos, task) -> context.executor().schedule(task, nanos, TimeUnit.NANOSECONDS));

    HttpClientConnection(HttpListener listener, MessageAcceptor messageAcceptor, Clock clock) {
        this.listener = listener;
        this.messageAcceptor = messageAcceptor;
        this.clock = clock;
        exchange = new Exchange(messageAcceptor) {
            @Override
            protected void respond(ClientResponse response, long retryAfterMicros) {
                HttpClientConnection.this.respond(response, retryAfterMicros);
            }
        };
    }

    /** The handlers of the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new ActivityTracker(), new Decoder(), new HttpResponseEncoder(), this};
    }

    /** Returns true while a request that was received whole has no response yet. */
    boolean hasRequestInProgress() {
        return isAwaitingResponse;
    }

    /** Returns true where the last response has been written. */
    boolean isClosing() {
        return isClosing;
    }

    void close() {
        context.close();
    }

    /**
     * Closes the connection at the connection limit. A client that has no response yet is rejected, whether its request
     * is incomplete or still on its way: without a response a request that was written whole would be lost.
     */
    void evict() {
        boolean isRejected = !isClosing && !(isIdle && hasResponded);
        isClosing = true;
        if (isRejected) {
            // Closing with unread bytes resets the connection; they are discarded from here on.
            readPending();
            context.writeAndFlush(ResponseFactory.create(ClientResponse.OVERLOADED, 0, true));
        }
        close();
    }

    /** Reads pending bytes, unless reading is paused because the client does not read its responses. */
    void readPending() {
        if (context.channel().isWritable()) {
            UnreadBytes.read(context.channel());
        }
    }

    /** Reads pending bytes, and closes the connection unless they begin a request or a response is still unsent. */
    void closeIfIdle() {
        readPending();
        if (isIdle && !isClosing && isFlushed()) {
            close();
        }
    }

    /** Returns true where the kernel has taken every response. */
    boolean isFlushed() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null || buffer.isEmpty();
    }

    /** Tracks the first byte of a request and the age of pending bytes, and discards bytes after the last request. */
    private final class ActivityTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (rejection != null || isClosing) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            earliestArrivalMicros = arrivalTimeBound.earliestArrivalMicros();
            if (isIdle) {
                isIdle = false;
                listener.connections().onRequestStarted(HttpClientConnection.this);
                if (hasResponded) {
                    startReadTimeout();
                }
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (ctx.channel().config().isAutoRead()) {
                arrivalTimeBound.onReadCaughtUp();
            }
            ctx.fireChannelReadComplete();
        }
    }

    /** Retains both headers where a request has two conflicting lengths, so that it can be rejected. */
    private static final class Decoder extends HttpRequestDecoder {
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {}
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        encoder = ctx.pipeline().context(HttpResponseEncoder.class);
        arrivalTimeBound = new ArrivalTimeBound(listener.acceptor(), clock.micros());
        startReadTimeout();
        listener.connections().onOpened(this);
    }

    private void startReadTimeout() {
        timer.start(MessageRequest.READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, this::onReadTimeout);
    }

    /**
     * Closes the connection of a client that sends nothing, and rejects a request that does not end. Bytes that have
     * arrived since the event loop last read the socket count as received in time.
     */
    private void onReadTimeout() {
        readPending();
        boolean hasProgressed = timer.isRunning() || isAwaitingResponse || isClosing;
        if (hasProgressed) {
            return;
        }
        if (isIdle) {
            close();
        } else {
            reject(ClientResponse.REQUEST_TIMEOUT);
        }
    }

    /** Closes the connection of a client that has sent nothing since its last response. */
    private void onIdleTimeout() {
        readPending();
        if (isIdle && !timer.isRunning()) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.end();
        pipelined.clear();
        reading = null;
        listener.connections().onClosed(this);
        listener.bufferBudget().release(reservedBytes);
        reservedBytes = 0;
        withdraw();
    }

    /** Withdraws the message that awaits its response: its client may resubmit it under another id. */
    private void withdraw() {
        Message message = exchange.releaseMessage();
        if (message != null) {
            messageAcceptor.withdraw(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejection != null || isClosing) {
            return;
        }
        if (part instanceof HttpRequest head && !readHead(ctx, head)) {
            return;
        }
        if (part instanceof HttpContent content && reading != null) {
            readContent(content);
        }
    }

    /** Begins a request; returns false where it is rejected. */
    private boolean readHead(ChannelHandlerContext ctx, HttpRequest head) {
        reading = new HttpRequestReader(head);
        ClientResponse headRejection = reading.rejection();
        if (headRejection != null) {
            reject(headRejection);
            return false;
        }
        if (HttpUtil.is100ContinueExpected(head) && !isAwaitingResponse) {
            ctx.writeAndFlush(ResponseFactory.createContinue());
        }
        return true;
    }

    private void readContent(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            reject(ClientResponse.MALFORMED);
        } else if (!reading.append(content.content())) {
            reject(ClientResponse.TOO_LARGE);
        } else if (!listener.bufferBudget().tryReserve(bytes, reading.bodyBytes())) {
            reject(ClientResponse.OVERLOADED);
        } else {
            reservedBytes += bytes;
            if (content instanceof LastHttpContent) {
                reading.onComplete(earliestArrivalMicros);
                pipelined.add(reading);
                reading = null;
                handlePipelined();
                updateAutoRead();
            }
        }
    }

    /** Pauses reading while many requests are buffered, or while the client does not read its responses. */
    private void updateAutoRead() {
        boolean isFull =
                pipelined.size() >= MAX_PIPELINED_REQUESTS || !context.channel().isWritable();
        if (isFull) {
            arrivalTimeBound.onReadPaused();
        }
        context.channel().config().setAutoRead(!isFull);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!isClosing) {
            updateAutoRead();
        }
    }

    /** Rejects the request that is being received, after the responses to all earlier ones, and reads no further. */
    private void reject(ClientResponse response) {
        reading = null;
        rejection = response;
        handlePipelined();
    }

    private void handlePipelined() {
        if (isHandling) {
            return;
        }
        isHandling = true;
        while (!isAwaitingResponse && !pipelined.isEmpty()) {
            HttpRequestReader next = pipelined.poll();
            handle(next);
            reservedBytes -= next.bodyBytes();
            listener.bufferBudget().release(next.bodyBytes());
        }
        isHandling = false;
        if (rejection != null && !isAwaitingResponse && !isClosing) {
            isKeepAlive = false;
            respond(rejection, 0);
        }
    }

    private void handle(HttpRequestReader request) {
        isAwaitingResponse = true;
        listener.connections().onRequestReceived(this);
        HttpRequest head = request.head();
        isKeepAlive = HttpUtil.isKeepAlive(head);
        exchange.handle(
                head.method().asciiName(),
                head.uri(),
                listener.isDraining(),
                request::parseMessage,
                listener.acceptor().earliestByteArrivalMicros());
    }

    private void respond(ClientResponse response, long retryAfterMicros) {
        isClosing = !isKeepAlive || listener.isDraining() && pipelined.isEmpty();
        boolean isLast = isClosing;
        Message answered = exchange.releaseMessage();
        isAwaitingResponse = false;
        write(response, retryAfterMicros, isLast).addListener(written -> {
            if (!written.isSuccess() && answered != null) {
                messageAcceptor.withdraw(answered);
            }
            if (!written.isSuccess()) {
                context.close();
            } else if (isLast) {
                linger();
            }
        });
        if (!isLast) {
            onResponded();
        } else if (!isFlushed()) {
            // The client may never read its last response.
            timer.start(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, this::close);
        }
    }

    private ChannelFuture write(ClientResponse response, long retryAfterMicros, boolean isLast) {
        return isLast || retryAfterMicros > 0
                ? context.writeAndFlush(ResponseFactory.create(response, retryAfterMicros, isLast))
                : encoder.writeAndFlush(ResponseFactory.encoded(response));
    }

    private void onResponded() {
        timer.stop();
        hasResponded = true;
        isIdle = pipelined.isEmpty() && reading == null && rejection == null;
        if (isIdle) {
            listener.connections().onIdle(this);
            startIdleTimeout();
        } else if (reading != null) {
            listener.connections().onRequestStarted(this);
            startReadTimeout();
        }
        updateAutoRead();
        handlePipelined();
    }

    private void startIdleTimeout() {
        timer.start(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, this::onIdleTimeout);
    }

    /**
     * Half-closes the connection after its last response and reads on: closing it with unread bytes would reset it, and
     * the client might lose the response.
     */
    private void linger() {
        if (!context.channel().isActive()) {
            return;
        }
        ((DuplexChannel) context.channel()).shutdownOutput();
        listener.connections().onFinished(this);
        context.channel().config().setAutoRead(true);
        timer.start(LINGER_MILLIS, TimeUnit.MILLISECONDS, this::close);
    }
}
