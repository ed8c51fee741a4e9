package pipitstage.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern CONSIGNEE = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    private final Engine engine;
    private final Clock clock;
    private final int mostConnections;
    private final Set<Connection> connections = new HashSet<>();
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
                        ch.pipeline().addLast(connection.watch(), new HttpServerCodec(),
                                new HttpObjectAggregator(MOST_BODY), connection);
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

    void stopListening() {
        listener.close();
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements Message.ClientReply {
        private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
        private ChannelHandlerContext context;
        private boolean idle = true;
        private boolean keepAlive;
        private FullHttpRequest current;
        private Message message;

        /** Notices the first byte of a request. */
        private ChannelInboundHandlerAdapter watch() {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                    idle = false;
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
            connections.add(this);
            // Guards against clients that take every descriptor: hosts and discovery need some.
            if (connections.size() > mostConnections) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            pipelined.forEach(ReferenceCountUtil::release);
            pipelined.clear();
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
        public void channelRead(ChannelHandlerContext ctx, Object received) {
            FullHttpRequest request = (FullHttpRequest) received;
            if (current == null) {
                handle(request);
            } else if (pipelined.size() < MOST_PIPELINED) {
                pipelined.add(request);
            } else {
                request.release();
                ctx.close();
            }
        }

        private void handle(FullHttpRequest request) {
            current = request;
            boolean sound = !request.decoderResult().isFailure();
            keepAlive = sound && HttpUtil.isKeepAlive(request);
            if (!sound) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
            } else if (request.uri().equals("/api")) {
                if (request.method().equals(HttpMethod.POST)) {
                    takeOn(request);
                } else {
                    answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                }
            } else if (request.uri().equals("/-/ready")) {
                answer(engine.isReady() && !draining ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            } else {
                answer(HttpResponseStatus.NOT_FOUND, 0);
            }
        }

        private void takeOn(FullHttpRequest request) {
            Message.Content content = read(request);
            if (content == null || !engine.knows(content)) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            message = engine.takeOn(content, this);
            if (message == null) {
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
        }

        /** What a request holds, or null where a header is missing or makes no sense. */
        private Message.Content read(FullHttpRequest request) {
            HttpHeaders headers = request.headers();
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
                    Integer.parseInt(consignee.group(1)), ByteBufUtil.getBytes(request.content()));
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
                response.headers().set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryIn / 1e6));
            }
            Message answered = message;
            message = null;
            current.release();
            current = null;
            idle = pipelined.isEmpty();
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
