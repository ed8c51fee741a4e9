package loftflow.listener.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.util.AsciiString;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.connection.Acceptor;
import loftflow.listener.connection.ConnectionLimiter;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;
import loftflow.listener.request.MessageRequest;

/** Listens for clients that speak HTTP/2 without TLS, and shares out among them what the relay can bear. */
public final class Http2Listener implements Listener {
    /**
     * How it is set. Spans are in microseconds, sizes in bytes.
     *
     * @param connections that clients may hold
     * @param streams that one connection may have open, and that all may together
     * @param headerList the largest list of headers
     * @param window the receive window of a connection, where there is room for it
     * @param pool what half-read bodies may take together
     * @param shares of classes in the half of the pool that belongs to them
     * @param resets RST_STREAM frames a second that one connection may send
     * @param standing when a connection has stood long enough
     * @param drain how long the last answers may take once a connection goes
     */
    public record Options(
            int connections,
            ConcurrentStreamLimit.Bounds streams,
            int headerList,
            int window,
            long pool,
            Map<String, Double> shares,
            double resets,
            ConnectionExpiry.Spans standing,
            long drain) {}

    private static final long TICK_MS = 50;
    /** How long a body waits for room, in microseconds, before slower ones give way to it. */
    private static final long PATIENCE = 500_000;

    private static final int SEND_BUFFER = 64 << 10;
    private static final AsciiString H2C = AsciiString.cached("h2c");
    /**
     * Guards against a line of Netty's for each frame that a client sends too late; held here, as only that keeps it.
     */
    private static final Logger NETTY = Logger.getLogger("io.netty.handler.codec.http2");

    static {
        NETTY.setLevel(Level.OFF);
    }

    private final MessageAcceptor intake;
    private final Clock clock;
    private final Options options;
    private final Acceptor door;
    private final ConnectionLimiter<ClientSession> house;
    private final ConcurrentStreamLimit offer;
    private final ReceiveWindowAllocator credit;
    /** Streams whose bodies wait for credit, in the order of their wishes. */
    private final ArrayDeque<RequestStream> waiting = new ArrayDeque<>();

    private int open;
    private int busy;
    private int refused;
    private long accepted;
    private boolean draining;
    private boolean returning;

    /** A front that listens nowhere yet. */
    public Http2Listener(MessageAcceptor intake, Clock clock, EventLoopLag pulse, Options options) {
        this.intake = intake;
        this.clock = clock;
        this.options = options;
        door = new Acceptor(pulse, this::accept);
        // What lies unread needs no look: the goodbye names the last stream that was taken, and its client sends the
        // rest elsewhere.
        house = new ConnectionLimiter<>(options.connections(), session -> {}, ClientSession::letGo);
        offer = new ConcurrentStreamLimit(options.streams());
        credit = new ReceiveWindowAllocator(options.pool(), options.shares());
    }

    /** Listens for clients at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        loop.schedule(() -> look(loop), TICK_MS, TimeUnit.MILLISECONDS);
        return door.open(loop, address);
    }

    private void accept(Channel ch) {
        // Guards against megabytes of answers that the system holds for one who does not read, before that is noticed.
        ch.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER);
        // A golden ratio's multiples spread evenly, however many there are.
        double spread = accepted++ * 0.618034 % 1;
        ClientSession session = ClientSession.of(this, intake, clock, ch, spread);
        HttpServerCodec http1 = new HttpServerCodec();
        HttpServerUpgradeHandler upgrade = new HttpServerUpgradeHandler(
                http1,
                protocol -> AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, protocol)
                        ? new Http2ServerUpgradeCodec(session)
                        : null,
                MessageRequest.MAX_BODY_BYTES);
        ch.pipeline().addLast(new CleartextHttp2ServerUpgradeHandler(http1, upgrade, session), new Http1());
        ch.closeFuture().addListener(closed -> session.gone());
        house.onOpened(session);
    }

    /** Answers what speaks HTTP/1.1 here and does not upgrade. */
    private static final class Http1 extends SimpleChannelInboundHandler<HttpMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpMessage request) {
            var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.UPGRADE_REQUIRED);
            answer.headers()
                    .set(HttpHeaderNames.UPGRADE, H2C)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.UPGRADE)
                    .add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            ctx.writeAndFlush(answer).addListener(written -> ctx.close());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    Options options() {
        return options;
    }

    Acceptor door() {
        return door;
    }

    ConnectionLimiter<ClientSession> house() {
        return house;
    }

    ReceiveWindowAllocator credit() {
        return credit;
    }

    boolean isDraining() {
        return draining;
    }

    // ---- streams

    /** True where one more stream may be open, which is counted then; one that may not is refused as never taken. */
    boolean opens(boolean first) {
        if (!offer.allowsNewStream(open)) {
            refused++;
            return false;
        }
        open++;
        busy += first ? 1 : 0;
        return true;
    }

    /** A stream that was counted is over. */
    void ended(boolean last) {
        open--;
        busy -= last ? 1 : 0;
    }

    /** What a connection is offered now. */
    int streamsForEach() {
        return offer.perConnection(busy);
    }

    /** True where a connection is to hear of a change in what it is offered. */
    boolean worthTelling(int told, int now) {
        return offer.shouldAnnounce(told, now);
    }

    /** Something was refused for want of room. */
    void refusedOne() {
        refused++;
    }

    /** A body waits for credit. */
    void waits(RequestStream stream) {
        waiting.add(stream);
    }

    /** Credit has been given back: whoever waits is asked for again, each class from its own part. */
    void returned() {
        // Guards against going round: one that is granted may make another one give something back.
        if (returning) {
            return;
        }
        returning = true;
        for (int i = waiting.size(); i > 0; i--) {
            waiting.poll().ask();
        }
        returning = false;
    }

    /** Guards against one that holds what belongs to others: its longest half-read stream gives way. */
    void giveWay(ReceiveWindowAllocator.Account heaviest) {
        long slowSince = clock.micros() - PATIENCE;
        house.all().stream().filter(s -> s.account() == heaviest).findFirst().ifPresent(s -> s.giveWay(slowSince));
    }

    private void look(EventLoop loop) {
        loop.schedule(() -> look(loop), TICK_MS, TimeUnit.MILLISECONDS);
        long now = clock.micros();
        offer.observe(new ConcurrentStreamLimit.Load(intake.utilization(), now - door.unreadSince(), refused), now);
        refused = 0;
        int each = streamsForEach();
        house.all().forEach(session -> session.look(now, each));
        List.copyOf(waiting).stream().filter(s -> now - s.since() > PATIENCE).forEach(RequestStream::insist);
    }

    // ---- the end

    /** Says goodbye on every connection; new ones are told at once. What is open finishes. */
    @Override
    public void drain() {
        drain(options.drain());
    }

    /** As above, with a span in microseconds for what is open. */
    public void drain(long span) {
        draining = true;
        takeIn();
        long until = clock.micros() + span;
        house.all().forEach(session -> session.sayGoodbye(until));
    }

    /**
     * Guards against streams that lie unread on a connection which has heard nothing yet: it would end with no goodbye.
     */
    @Override
    public void takeIn() {
        door.acceptPending();
        house.all().stream().filter(session -> !session.hasSpoken()).forEach(ClientSession::readWhatCame);
    }

    @Override
    public boolean isIdle() {
        return house.all().stream().allMatch(ClientSession::isOver);
    }

    @Override
    public boolean isAnswering() {
        return house.all().stream().anyMatch(ClientSession::isAnswering);
    }

    @Override
    public void stopListening() {
        door.close();
    }
}
