package loftflow.listener.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
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
import loftflow.http.HeapReceiveAllocator;
import loftflow.http.UnreadBytes;
import loftflow.listener.connection.ArrivalTimeBound;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.Exchange;
import loftflow.listener.request.MessageRequest;
import loftflow.memory.MemoryBudget;

/**
 * A client connection: reads requests, responds to them in order, and closes the connection if the client stalls. Every
 * completely received request gets exactly one response, unless the connection is lost.
 */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** The number of buffered pipelined requests at which reading pauses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;
    /** What one pass of the event loop reads of a connection, so that one with many requests does not delay others. */
    static final int MAX_BYTES_PER_PASS = 8 << 10;
    /** Responses that a client does not read are held up to this size, and no more requests are read meanwhile. */
    private static final WriteBufferWaterMark UNREAD_RESPONSE_BYTES = new WriteBufferWaterMark(1 << 10, 4 << 10);
    /** How often {@link #readPending} reads so much at most. */
    private static final int MAX_PENDING_READS = 128;

    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    /** The time for which the connection stays half-closed after its last response, so that the client can read it. */
    private static final long LINGER_MILLIS = 2000;

    private final HttpListener listener;
    private final MessageAcceptor messageAcceptor;
    private final Clock clock;
    /** Completely received requests that wait for the response to an earlier one, in order. */
    private final ArrayDeque<HttpRequestReader> pipelined = new ArrayDeque<>();

    private final Exchange exchange;
    private ChannelHandlerContext context;
    /** The context of the HTTP encoder. Writes through it bypass the encoder and are sent unchanged. */
    private ChannelHandlerContext encoder;

    private ArrivalTimeBound arrivalTimeBound;
    private long earliestArrivalMicros;
    /** Whether the last pass may have left bytes unread that had arrived. */
    private boolean hasUnreadBytes;

    private boolean isIdle = true;
    /** Whether a response other than the last one has been sent. */
    private boolean hasResponded;

    private boolean isKeepAlive;
    /** The request that is being received; null between requests. */
    private HttpRequestReader reading;

    private boolean isHandlingPipelined;
    private boolean isAwaitingResponse;
    /** The response to a rejected request, which is the last one on the connection; null if none was rejected. */
    private ClientResponse rejection;

    private boolean isClosing;
    private final RequestDecoder decoder = new RequestDecoder();
    /** What {@link #pipelined} holds, in bytes of heap. */
    private int pipelinedBytes;

    private final MemoryBudget.Account memory;
    /** Whether more must not be read until a request of {@link #pipelined} has been handled. */
    private boolean isMemoryExhausted;

    private boolean isReadingPending;
    /** Whether the bytes of a read are being handled. */
    private boolean isReading;

    private boolean hasUnflushedResponses;
    private final ConnectionTimer timer =
            new ConnectionTimer((nanos, task) -> context.executor().schedule(task, nanos, TimeUnit.NANOSECONDS));

    HttpClientConnection(HttpListener listener, MessageAcceptor messageAcceptor, Clock clock) {
        this.listener = listener;
        this.messageAcceptor = messageAcceptor;
        this.clock = clock;
        memory = listener.requestMemory().openAccount();
        exchange = new Exchange(messageAcceptor) {
            @Override
            protected void respond(ClientResponse response, long retryAfterMicros) {
                HttpClientConnection.this.respond(response, retryAfterMicros);
            }
        };
    }

    /** Returns the handlers of the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new ActivityTracker(), decoder, new HttpResponseEncoder(), this};
    }

    /** Returns whether a completely received request has no response yet. */
    boolean hasRequestInProgress() {
        return isAwaitingResponse;
    }

    /** Returns whether the last response has been written, or the connection is being evicted. */
    boolean isClosing() {
        return isClosing;
    }

    void close() {
        context.close();
    }

    /**
     * Closes the connection at the connection limit. Responds with {@link ClientResponse#OVERLOADED} unless the
     * connection is idle after a response: a request that the client has completely written, but that has not arrived
     * yet, would be lost without a response.
     */
    void evict() {
        boolean isRejected = !isClosing && !(isIdle && hasResponded);
        isClosing = true;
        releaseMemory();
        if (isRejected) {
            // Closing with unread bytes would reset the connection. Bytes that are read from here on are discarded.
            readPending();
            context.writeAndFlush(ResponseFactory.create(ClientResponse.OVERLOADED, 0, true));
        }
        close();
    }

    /** Reads pending bytes, unless reading is paused because the client does not read its responses. */
    void readPending() {
        hasUnreadBytes = true;
        isReadingPending = true;
        for (int reads = 0; hasUnreadBytes && reads < MAX_PENDING_READS; reads++) {
            hasUnreadBytes = false;
            if (context.channel().isWritable()) {
                UnreadBytes.read(context.channel());
            }
        }
        isReadingPending = false;
    }

    /** A body is read in large parts, as it costs little to read. */
    private int maxBytesPerRead() {
        boolean isLarge = isReadingPending || reading != null && reading.hasLength();
        return isLarge ? MAX_BYTES_PER_PASS : listener.readShare().bytesPerRead();
    }

    /** Reads pending bytes, then closes the connection unless a request has begun or a response is still unsent. */
    void closeIfIdle() {
        readPending();
        if (isIdle && !isClosing && isFlushed()) {
            close();
        }
    }

    /** Returns whether every response has been written to the socket. */
    boolean isFlushed() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null || buffer.isEmpty();
    }

    /**
     * Tracks the first byte of each request and the arrival time of received bytes. Discards bytes after the last
     * request.
     */
    private final class ActivityTracker extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            hasUnreadBytes = !((ByteBuf) bytes).isWritable();
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
            listener.readShare().onRead();
            isReading = true;
            ctx.fireChannelRead(bytes);
            isReading = false;
            flushResponses();
            updateMemory();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (hasUnreadBytes) {
                arrivalTimeBound.onReadLimited(clock.micros());
            } else if (ctx.channel().config().isAutoRead()) {
                arrivalTimeBound.onReadCaughtUp();
            }
            ctx.fireChannelReadComplete();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.channel().config().setWriteBufferWaterMark(UNREAD_RESPONSE_BYTES);
        ctx.channel()
                .config()
                .setRecvByteBufAllocator(new HeapReceiveAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_BYTES_PER_PASS)
                                .maxMessagesPerRead(1),
                        this::maxBytesPerRead));
        encoder = ctx.pipeline().context(HttpResponseEncoder.class);
        arrivalTimeBound = new ArrivalTimeBound(listener.acceptor(), clock.micros());
        startReadTimeout();
        listener.connections().onOpened(this);
    }

    private void startReadTimeout() {
        timer.start(MessageRequest.READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, this::onReadTimeout);
    }

    /**
     * Closes the connection if the client has sent nothing, or rejects its incomplete request. Bytes that have arrived
     * since the event loop last read the socket count as received in time.
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

    /** Closes the connection if the client has sent nothing since its latest response. */
    private void onIdleTimeout() {
        readPending();
        if (isIdle && !timer.isRunning()) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.end();
        listener.connections().onClosed(this);
        releaseMemory();
        withdraw();
    }

    private void releaseMemory() {
        pipelined.clear();
        pipelinedBytes = 0;
        reading = null;
        memory.release();
    }

    /** Withdraws the message that awaits its response, as its client may resubmit it under another id. */
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

    /** Begins a request; returns false if the request is rejected. */
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
        if (content.decoderResult().isFailure()) {
            reject(ClientResponse.MALFORMED);
        } else if (!reading.append(content.content())) {
            reject(ClientResponse.TOO_LARGE);
        } else if (content instanceof LastHttpContent) {
            reading.onComplete(earliestArrivalMicros);
            pipelined.add(reading);
            pipelinedBytes += reading.heldBytes();
            reading = null;
            handlePipelined();
            updateAutoRead();
        }
    }

    /**
     * Reserves what the connection holds. Beyond the limit it reads no more until a request that it has received is
     * handled; if there is none, the request that is being received is rejected.
     */
    private void updateMemory() {
        long heldBytes = heldBytes();
        if (isClosing || rejection != null) {
            memory.hold(heldBytes);
            return;
        }
        isMemoryExhausted = !memory.tryHold(heldBytes) && !makeRoom(heldBytes);
        if (isMemoryExhausted) {
            listener.onMemoryExhausted();
            if (isAwaitingResponse) {
                updateAutoRead();
            } else {
                reject(ClientResponse.OVERLOADED);
            }
        }
    }

    private long heldBytes() {
        int readingBytes = reading == null ? 0 : reading.heldBytes();
        return context.channel().isActive() ? decoder.heldBytes() + pipelinedBytes + readingBytes : 0;
    }

    /** Makes room by evicting another connection whose request has been incomplete for long. */
    private boolean makeRoom(long heldBytes) {
        return listener.connections().evictIncomplete(this) && memory.tryHold(heldBytes);
    }

    /** Pauses reading while too many requests are buffered or the client does not read its responses. */
    private void updateAutoRead() {
        boolean shouldPause = pipelined.size() >= MAX_PIPELINED_REQUESTS
                || isMemoryExhausted
                || !context.channel().isWritable();
        if (shouldPause) {
            arrivalTimeBound.onReadPaused();
        }
        context.channel().config().setAutoRead(!shouldPause);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!isClosing) {
            updateAutoRead();
        }
    }

    /** Stops reading, and rejects the request that is being received once all earlier ones have their responses. */
    private void reject(ClientResponse response) {
        reading = null;
        rejection = response;
        memory.hold(heldBytes());
        handlePipelined();
    }

    private void handlePipelined() {
        if (isHandlingPipelined) {
            return;
        }
        isHandlingPipelined = true;
        while (!isAwaitingResponse && !pipelined.isEmpty()) {
            HttpRequestReader next = pipelined.poll();
            pipelinedBytes -= next.heldBytes();
            handle(next);
        }
        isHandlingPipelined = false;
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
        memory.hold(heldBytes());
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
        if (isLast || retryAfterMicros > 0) {
            return context.writeAndFlush(ResponseFactory.create(response, retryAfterMicros, isLast));
        }
        if (!isReading) {
            return encoder.writeAndFlush(ResponseFactory.encoded(response));
        }
        hasUnflushedResponses = true;
        return encoder.write(ResponseFactory.encoded(response));
    }

    /** Sends the responses to all requests of one read by one system call. */
    private void flushResponses() {
        if (hasUnflushedResponses) {
            hasUnflushedResponses = false;
            context.flush();
        }
    }

    private void onResponded() {
        timer.stop();
        hasResponded = true;
        isMemoryExhausted = false;
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
     * Half-closes the connection after its last response and continues to read: a close with unread bytes would reset
     * the connection, and the client might lose the response.
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
