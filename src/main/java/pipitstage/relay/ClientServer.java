package pipitstage.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Takes in what clients hand in and answers them. */
final class ClientServer {
    static final String CALL_ID = "X-Call-Id";
    static final String KEY = "Idempotency-Key";
    static final String BUDGET = "X-Budget-Ms";
    static final String LOAD_REPORT = "X-Load-Report";
    private static final int MOST_BODY = 64 << 10;
    private static final int BACKLOG = 256;
    private static final int MOST_PIPELINED = 8;
    private static final int PATIENCE_S = 10;
    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern CONSIGNEE = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    private final Engine engine;
    private final Clock clock;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean draining;

    ClientServer(Engine engine, Clock clock, int sockets) {
        this.engine = engine;
        this.clock = clock;
        mostConnections = sockets / 2;
    }

    /** Listens for clients at an address. */
    ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        Connection connection = new Connection();
                        ch.pipeline().addLast(connection.watch(), new HttpServerCodec(), connection);
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Closes connections as they fall idle; whatever a client has begun to send is still answered. */
    void drain() {
        draining = true;
        List.copyOf(connections).forEach(Connection::closeIfIdle);
    }

    /** True where every request that was begun has its answer. */
    boolean isIdle() {
        return connections.stream().allMatch(connection -> connection.idle);
    }

    /** True while a request that was read whole has no answer yet. */
    boolean isAnswering() {
        return connections.stream().anyMatch(connection -> connection.answering);
    }

    void stopListening() {
        listener.close();
    }

    /** A request as it comes in; {@code oversized} where its body is larger than any may be. */
    private static final class Incoming {
        final HttpRequest head;
        final ByteBuf body = Unpooled.buffer();
        boolean oversized;

        Incoming(HttpRequest head) {
            this.head = head;
        }

        void add(ByteBuf piece) {
            oversized |= body.readableBytes() + piece.readableBytes() > MOST_BODY;
            if (!oversized) {
                body.writeBytes(piece);
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Message.ClientReply {
        private final ArrayDeque<Incoming> pipelined = new ArrayDeque<>();
        private ChannelHandlerContext context;
        private boolean idle = true;
        private boolean keepAlive;
        private Incoming reading;
        private boolean answering;
        private Message message;
        private Future<?> patience;

        /** Notices the first byte of a request. */
        private ChannelInboundHandlerAdapter watch() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                    if (idle) {
                        idle = false;
                        // Guards against clients that begin a request and never end it.
                        patience = ctx.executor().schedule(() -> ctx.close(), PATIENCE_S, TimeUnit.SECONDS);
                    }
                    ctx.fireChannelRead(bytes);
                }
            };
        }

        private void closeIfIdle() {
            if (idle) {
                context.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            // Guards against clients that take every descriptor: hosts and discovery need some.
            if (connections.size() >= mostConnections) {
                connections.stream().filter(c -> c.idle).findFirst().orElse(this).context.close();
            }
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            pipelined.clear();
            if (patience != null) {
                patience.cancel(false);
            }
            withdraw();
        }

        /** Guards against delivering what its client gave up and may hand in again under another id. */
        private void withdraw() {
            if (message != null) {
                engine.withdraw(message);
                message = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof HttpRequest head) {
                reading = new Incoming(head);
                if (HttpUtil.is100ContinueExpected(head)) {
                    ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
                }
            }
            if (part instanceof HttpContent content && reading != null) {
                reading.add(content.content());
                if (content.decoderResult().isFailure()) {
                    reading.head.setDecoderResult(content.decoderResult());
                }
            }
            if (part instanceof LastHttpContent && reading != null) {
                Incoming whole = reading;
                reading = null;
                next(whole);
            }
        }

        private void next(Incoming request) {
            if (!answering) {
                handle(request);
            } else if (pipelined.size() < MOST_PIPELINED) {
                pipelined.add(request);
            } else {
                context.close();
            }
        }

        private void handle(Incoming request) {
            answering = true;
            HttpRequest head = request.head;
            boolean sound = !head.decoderResult().isFailure();
            keepAlive = sound && HttpUtil.isKeepAlive(head);
            if (!sound) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
            } else if (request.oversized) {
                answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
            } else if (head.uri().equals("/api")) {
                if (head.method().equals(HttpMethod.POST)) {
                    takeOn(request);
                } else {
                    answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                }
            } else if (head.uri().equals("/-/ready")) {
                answer(engine.isReady() && !draining ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            } else {
                answer(HttpResponseStatus.NOT_FOUND, 0);
            }
        }

        private void takeOn(Incoming request) {
            Message.Content content = read(request);
            if (content == null || !engine.knows(content)) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            Message taken = engine.takeOn(content, this);
            if (taken == null) {
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            } else if (taken.client == this) {
                message = taken;
            }
        }

        /** What a request holds, or null where a header is missing or makes no sense. */
        private Message.Content read(Incoming request) {
            HttpHeaders headers = request.head.headers();
            String callId = headers.get(CALL_ID, "");
            String requestClass = headers.get("X-Call-Class", "");
            String tenant = headers.get("X-Caller");
            String key = headers.get(KEY);
            String budget = headers.get(BUDGET, "");
            Matcher consignee = CONSIGNEE.matcher(headers.get("X-Consignee", ""));
            if (!TOKEN.matcher(callId).matches() || !MILLIS.matcher(budget).matches() || !consignee.matches()
                    || key != null && !TOKEN.matcher(key).matches()) {
                return null;
            }
            long deadline = clock.micros() + Long.parseLong(budget) * 1000;
            return new Message.Content(callId, requestClass, tenant, key, deadline,
                    Integer.parseInt(consignee.group(1)), ByteBufUtil.getBytes(request.body));
        }

        @Override
        public void taken() {
            answer(HttpResponseStatus.ACCEPTED, 0);
        }

        @Override
        public void refused(long retryIn) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, retryIn);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
        }

        private void answer(HttpResponseStatus status, long retryIn) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            HttpUtil.setContentLength(response, 0);
            boolean last = !keepAlive || draining && pipelined.isEmpty();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            if (retryIn > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryIn / 1e6));
            }
            Message answered = message;
            message = null;
            answering = false;
            idle = pipelined.isEmpty() && reading == null;
            if (idle) {
                patience.cancel(false);
            }
            context.writeAndFlush(response).addListener(written -> {
                if (!written.isSuccess() && answered != null) {
                    engine.withdraw(answered);
                }
                if (last || !written.isSuccess()) {
                    context.close();
                }
            });
            if (!pipelined.isEmpty()) {
                handle(pipelined.poll());
            }
        }
    }
}
