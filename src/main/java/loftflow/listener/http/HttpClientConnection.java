package loftflow.listener.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import loftflow.engine.Clock;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.http.ConnectionTimer;
import loftflow.http.UnreadBytes;
import loftflow.listener.connection.UnreadSince;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.Exchange;
import loftflow.listener.request.MessageRequest;

/** One client's connection: reads its requests, answers them in order, and gives up a client that stalls. */
final class HttpClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MOST_PIPELINED = 8;
    private static final long IDLE_MS = 10_000;
    private static final long LINGER_MS = 2000;
    private static final Map<ClientResponse, ByteBuf> PLAIN = Arrays.stream(ClientResponse.values())
            .collect(Collectors.toMap(
                    a -> a, HttpClientConnection::plain, (a, b) -> a, () -> new EnumMap<>(ClientResponse.class)));

    private final HttpListener server;
    private final MessageAcceptor intake;
    private final Clock clock;
    private final ArrayDeque<HttpRequestReader> pipelined = new ArrayDeque<>();
    private final Exchange exchange;
    private ChannelHandlerContext context;
    /** Bytes that are written here go out as they are. */
    private ChannelHandlerContext encoder;

    private UnreadSince unread;
    private long bytesSince;
    private boolean idle = true;
    private boolean served;
    private boolean keepAlive;
    private HttpRequestReader reading;
    private boolean handling;
    private boolean answering;
    /** The last request that is heeded can't be read on; its refusal is the last answer. */
    private ClientResponse refusal;

    private boolean ending;
    private int buffered;
    private final ConnectionTimer timer =
            new ConnectionTimer((nanos, task) -> context.executor().schedule(task, nanos, TimeUnit.NANOSECONDS));

    HttpClientConnection(HttpListener server, MessageAcceptor intake, Clock clock) {
        this.server = server;
        this.intake = intake;
        this.clock = clock;
        exchange = new Exchange(intake) {
            @Override
            protected void answer(ClientResponse answer, long retryIn) {
                HttpClientConnection.this.answer(answer, retryIn);
            }
        };
    }

    /** What the channel's pipeline is made of. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new Watch(), new Decoder(), new HttpResponseEncoder(), this};
    }

    boolean isAnswering() {
        return answering;
    }

    /** True where the last answer has been written. */
    boolean isEnding() {
        return ending;
    }

    void close() {
        context.close();
    }

    /** Takes in what has come and is not read yet, but for what waits with a client that does not read its answers. */
    void readWhatCame() {
        if (context.channel().isWritable()) {
            UnreadBytes.read(context.channel());
        }
    }

    /** True where the system has taken every answer. */
    boolean isFlushed() {
        ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
        return waiting == null || waiting.isEmpty();
    }

    /** Notices the first byte of a request, and lets go by what comes after the last one that is heeded. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (refusal != null || ending) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            bytesSince = unread.since();
            if (idle) {
                idle = false;
                server.house().began(HttpClientConnection.this);
                if (served) {
                    timer.start(MessageRequest.READ_MS, TimeUnit.MILLISECONDS, HttpClientConnection.this::stalled);
                }
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (ctx.channel().config().isAutoRead()) {
                unread.caughtUp();
            }
            ctx.fireChannelReadComplete();
        }
    }

    /** Guards against two lengths, of which only one can be true: both stay, for the reader to see. */
    private static final class Decoder extends HttpRequestDecoder {
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {}
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        encoder = ctx.pipeline().context(HttpResponseEncoder.class);
        unread = new UnreadSince(server.door(), clock.micros());
        timer.start(MessageRequest.READ_MS, TimeUnit.MILLISECONDS, this::stalled);
        server.house().opened(this);
    }

    /** Guards against clients that connect and say nothing, or begin a request and never end it. */
    private void stalled() {
        if (idle) {
            close();
        } else if (!answering) {
            refuse(ClientResponse.TOO_SLOW);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.end();
        pipelined.clear();
        reading = null;
        server.house().closed(this);
        server.room().give(buffered);
        buffered = 0;
        withdraw();
    }

    /** Guards against delivering what its client gave up and may hand in again under another id. */
    private void withdraw() {
        Message waiting = exchange.release();
        if (waiting != null) {
            intake.withdraw(waiting);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (refusal != null || ending) {
            return;
        }
        if (part instanceof HttpRequest head) {
            reading = new HttpRequestReader(head);
            ClientResponse why = reading.refusal();
            if (why != null) {
                refuse(why);
                return;
            }
            if (HttpUtil.is100ContinueExpected(head) && !answering) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content && reading != null) {
            read(content);
        }
    }

    private void read(HttpContent content) {
        int bytes = content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            refuse(ClientResponse.MALFORMED);
        } else if (!reading.add(content.content())) {
            refuse(ClientResponse.TOO_LARGE);
        } else if (!server.room().take(bytes, reading.size())) {
            // Guards against half-read bodies that together take all the memory.
            refuse(ClientResponse.NO_ROOM);
        } else {
            buffered += bytes;
            if (content instanceof LastHttpContent) {
                reading.cameAt(bytesSince);
                pipelined.add(reading);
                reading = null;
                handleNext();
                readMore();
            }
        }
    }

    /**
     * Guards against hundreds of requests at once, and of answers that are not read: what is not read yet waits with
     * its client.
     */
    private void readMore() {
        boolean full = pipelined.size() >= MOST_PIPELINED || !context.channel().isWritable();
        if (full) {
            unread.paused();
        }
        context.channel().config().setAutoRead(!full);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!ending) {
            readMore();
        }
    }

    /** Answers, after all that came before it, a request that can't be read on; nothing after it is heeded. */
    private void refuse(ClientResponse why) {
        reading = null;
        refusal = why;
        handleNext();
    }

    private void handleNext() {
        if (handling) {
            return;
        }
        handling = true;
        while (!answering && !pipelined.isEmpty()) {
            HttpRequestReader next = pipelined.poll();
            handle(next);
            buffered -= next.size();
            server.room().give(next.size());
        }
        handling = false;
        if (refusal != null && !answering && !ending) {
            keepAlive = false;
            answer(refusal, 0);
        }
    }

    private void handle(HttpRequestReader request) {
        answering = true;
        HttpRequest head = request.head();
        keepAlive = HttpUtil.isKeepAlive(head);
        exchange.handle(
                head.method().asciiName(),
                head.uri(),
                server.isDraining(),
                request::content,
                server.door().unreadSince());
    }

    /** An answer that says nothing but its status, the same bytes each time: only these go out by the thousand. */
    private static ByteBuf plain(ClientResponse answer) {
        return Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(
                HttpVersion.HTTP_1_1 + " " + answer.status() + "\r\n" + HttpHeaderNames.CONTENT_LENGTH + ": 0\r\n\r\n",
                StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse withHeaders(ClientResponse answer, long retryIn, boolean last) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(), Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryIn > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, ClientResponse.retryAfter(retryIn));
        }
        return response;
    }

    private void answer(ClientResponse answer, long retryIn) {
        ending = !keepAlive || server.isDraining() && pipelined.isEmpty();
        boolean last = ending;
        Message answered = exchange.release();
        answering = false;
        ChannelFuture left = last || retryIn > 0
                ? context.writeAndFlush(withHeaders(answer, retryIn, last))
                : encoder.writeAndFlush(PLAIN.get(answer).duplicate());
        left.addListener(written -> {
            if (!written.isSuccess() && answered != null) {
                intake.withdraw(answered);
            }
            if (!written.isSuccess()) {
                context.close();
            } else if (last) {
                linger();
            }
        });
        if (!last) {
            afterAnswer();
        } else if (!isFlushed()) {
            // Guards against a client that never reads its last answer.
            timer.start(IDLE_MS, TimeUnit.MILLISECONDS, this::close);
        }
    }

    private void afterAnswer() {
        timer.stop();
        served = true;
        idle = pipelined.isEmpty() && reading == null && refusal == null;
        if (idle) {
            server.house().fellIdle(this);
            timer.start(IDLE_MS, TimeUnit.MILLISECONDS, this::close);
        } else if (reading != null) {
            timer.start(MessageRequest.READ_MS, TimeUnit.MILLISECONDS, this::stalled);
        }
        readMore();
        handleNext();
    }

    /** Guards against an answer that a reset takes with it, as what the client still sends is not read. */
    private void linger() {
        if (!context.channel().isActive()) {
            return;
        }
        ((DuplexChannel) context.channel()).shutdownOutput();
        // Guards against a house full of these, whose clients never close: nothing more is owed to them.
        server.house().fellIdle(this);
        context.channel().config().setAutoRead(true);
        timer.start(LINGER_MS, TimeUnit.MILLISECONDS, this::close);
    }
}
