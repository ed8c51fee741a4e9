package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http2.AbstractHttp2ConnectionHandlerBuilder;
import io.netty.handler.codec.http2.DefaultHttp2Connection;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2LocalFlowController;
import io.netty.handler.codec.http2.DefaultHttp2RemoteFlowController;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2EventAdapter;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Flags;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.handler.codec.http2.HttpConversionUtil;
import io.netty.handler.codec.http2.ReadOnlyHttp2Headers;
import io.netty.handler.codec.http2.UniformStreamByteDistributor;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.MessageAcceptor;
import loftflow.http.UnreadBytes;
import loftflow.listener.connection.RequestBufferPool;
import loftflow.listener.connection.UnreadSince;
import loftflow.listener.http2.flowcontrol.AcknowledgedStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.listener.http2.flowcontrol.FrameBudget;
import loftflow.listener.http2.flowcontrol.GracefulGoAway;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;
import loftflow.listener.http2.flowcontrol.StreamLifecycle;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.MessageRequest;

/** One client's connection: its streams, and what it may cost. It carries out what {@code limits} decides. */
final class ClientSession extends Http2ConnectionHandler {
    /** What a stream may bring of its body before a word is said; the rest is let in as there is room for it. */
    static final int FIRST_WINDOW = RequestBufferPool.GUARANTEED_REQUEST_BYTES;

    private static final int STEP = 16 << 10;
    /** One byte more than any body may have lets a client that told no length hear that its own is too large. */
    static final int MOST_WINDOW = MessageRequest.MAX_BODY_BYTES + 1;

    private static final long COME_BACK = 1_000_000;
    private static final long LINGER_MS = 1_000;
    /** The share of an extended stream's window that may be used up before Netty tells of the rest: all but none. */
    private static final float AT_ONCE = 0.999f;

    private static final long FAREWELL_PING = 0x676f6f64627965L;
    private static final Map<ClientResponse, Http2Headers> ANSWERS = new EnumMap<>(ClientResponse.class);
    private static final Http2Headers GO_ON =
            ReadOnlyHttp2Headers.serverHeaders(false, HttpResponseStatus.CONTINUE.codeAsText());

    static {
        for (ClientResponse answer : ClientResponse.values()) {
            ANSWERS.put(
                    answer,
                    ReadOnlyHttp2Headers.serverHeaders(false, answer.status().codeAsText()));
        }
    }

    private final Http2Listener server;
    private final MessageAcceptor intake;
    private final Clock clock;
    private final Channel channel;
    private final Http2Connection.PropertyKey key;
    private final FrameBudget budget;
    private final ConnectionExpiry standing;
    private final GracefulGoAway farewell = new GracefulGoAway();
    private final ReceiveWindowAllocator.Account account;
    private final AcknowledgedStreamLimit allowance;
    private final UnreadSince unread;
    /** Streams whose requests are not whole, the oldest first. */
    private final Set<RequestStream> reading = new LinkedHashSet<>();

    private ChannelHandlerContext context;
    private int open;
    /** Half-read bytes by which the connection's window is to change yet. */
    private int lent;

    private boolean spoke;
    private boolean flushDue;
    private boolean over;

    private ClientSession(
            Http2ConnectionDecoder decoder,
            Http2ConnectionEncoder encoder,
            Http2Settings settings,
            Http2Listener server,
            MessageAcceptor intake,
            Clock clock,
            Channel channel,
            double spread) {
        // What closes the channel is decided here: GOAWAY goes apart.
        super(decoder, encoder, settings, true);
        this.server = server;
        this.intake = intake;
        this.clock = clock;
        this.channel = channel;
        key = connection().newKey();
        budget = new FrameBudget(server.options().resets());
        standing = new ConnectionExpiry(server.options().standing(), clock.micros(), spread);
        account = server.credit().openAccount();
        unread = new UnreadSince(server.door(), clock.micros());
        allowance = new AcknowledgedStreamLimit(settings.maxConcurrentStreams().intValue());
        Listener listener = new Listener();
        connection().addListener(listener);
        decoder.frameListener(listener);
    }

    /** Makes one; Netty's own guards stand aside where {@code limits} has one, and stay where it has none. */
    private static final class Builder extends AbstractHttp2ConnectionHandlerBuilder<ClientSession, Builder> {
        private static final int CONTINUATIONS = 10;
        private static final int QUEUED_CONTROL_FRAMES = 2_000;

        private final Http2Listener server;
        private final MessageAcceptor intake;
        private final Clock clock;
        private final Channel channel;
        private final double spread;

        Builder(Http2Listener server, MessageAcceptor intake, Clock clock, Channel channel, double spread) {
            this.server = server;
            this.intake = intake;
            this.clock = clock;
            this.channel = channel;
            this.spread = spread;
            Http2Connection connection = new DefaultHttp2Connection(true, 0);
            // Answers have no DATA, so that the plainest order of sending will do.
            connection
                    .remote()
                    .flowController(new DefaultHttp2RemoteFlowController(
                            connection, new UniformStreamByteDistributor(connection)));
            connection(connection);
            initialSettings(new Http2Settings()
                    .maxConcurrentStreams(server.streamsForEach())
                    .initialWindowSize(FIRST_WINDOW)
                    .maxHeaderListSize(server.options().headerList()));
            validateRequiredPseudoHeaders(true);
            decoderEnforceMaxRstFramesPerWindow(0, 0);
            encoderEnforceMaxRstFramesPerWindow(0, 0);
            decoderEnforceMaxConsecutiveEmptyDataFrames(0);
            decoderEnforceMaxSmallContinuationFrames(CONTINUATIONS);
            encoderEnforceMaxQueuedControlFrames(QUEUED_CONTROL_FRAMES);
            frameListener(new Http2EventAdapter());
        }

        ClientSession make() {
            return build();
        }

        @Override
        protected ClientSession build(
                Http2ConnectionDecoder decoder, Http2ConnectionEncoder encoder, Http2Settings settings) {
            return new ClientSession(decoder, encoder, settings, server, intake, clock, channel, spread);
        }
    }

    static ClientSession of(Http2Listener server, MessageAcceptor intake, Clock clock, Channel channel, double spread) {
        return new Builder(server, intake, clock, channel, spread).make();
    }

    ReceiveWindowAllocator.Account account() {
        return account;
    }

    // ---- the connection

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof HttpServerUpgradeHandler.UpgradeEvent upgrade) {
            upgraded(upgrade.upgradeRequest());
        }
        super.userEventTriggered(ctx, event);
    }

    /** The request that asked for the upgrade is stream 1, and whole (RFC 7540, 3.2). */
    private void upgraded(FullHttpRequest request) throws Http2Exception {
        request.headers().set(HttpConversionUtil.ExtensionHeaderNames.SCHEME.text(), "http");
        RequestStream stream = begin(connection().stream(1), HttpConversionUtil.toHttp2Headers(request, true));
        if (stream.life().state() == StreamLifecycle.State.READING) {
            stream.add(request.content());
            whole(stream);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        if (over) {
            ctx.close();
        } else {
            super.exceptionCaught(ctx, cause);
        }
    }

    @Override
    protected void onStreamError(
            ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception.StreamException error) {
        switch (error.error()) {
            case REFUSED_STREAM -> server.refusedOne();
            case STREAM_CLOSED -> allows(FrameBudget.Kind.CLOSED_STREAM);
            default -> allows(FrameBudget.Kind.STREAM_ERROR);
        }
        if (over) {
            return;
        }
        super.onStreamError(ctx, outbound, cause, error);
    }

    /** Guards against a client that asks and does not read: it is not read from either until it does. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        super.channelWritabilityChanged(ctx);
        if (!channel.isWritable()) {
            unread.onReadPaused();
        }
        channel.config().setAutoRead(channel.isWritable());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (channel.config().isAutoRead()) {
            unread.onReadCaughtUp();
        }
        super.channelReadComplete(ctx);
    }

    /** True where the client has agreed on settings. */
    boolean hasSpoken() {
        return spoke;
    }

    /** Takes in what has come and is not read yet. */
    void readWhatCame() {
        UnreadBytes.read(channel);
    }

    /** Ends at once, as the house is full. */
    void letGo() {
        end(Http2Error.NO_ERROR, "others come");
    }

    /** The channel is closed. */
    void gone() {
        over = true;
        server.house().onClosed(this);
        server.credit().closeAccount(account);
        server.returned();
    }

    /** Says why and ends; what was taken goes on. */
    private void end(Http2Error error, String why) {
        if (over) {
            return;
        }
        if (context == null) {
            over = true;
            channel.close();
            return;
        }
        sayLast(connection().remote().lastStreamCreated(), error, why);
        finish();
    }

    /**
     * Sends GOAWAY and no more. Guards against Netty's own rules: once it knows of one, DATA on a later stream ends the
     * connection, and with it those that are open.
     */
    private void sayLast(int last, Http2Error error, String why) {
        frameWriter()
                .writeGoAway(
                        context,
                        last,
                        error.code(),
                        Unpooled.copiedBuffer(why, StandardCharsets.US_ASCII),
                        context.newPromise());
    }

    /** Guards against a last word that a reset takes with it, as what the client still sends is not read. */
    private void finish() {
        over = true;
        flush(context);
        if (!channel.isWritable()) {
            context.close();
            return;
        }
        context.pipeline().addFirst(new Deaf());
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Lets go by what comes after the last that is heeded. */
    private static final class Deaf extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            ReferenceCountUtil.release(bytes);
        }
    }

    private boolean allows(FrameBudget.Kind cost) {
        if (over) {
            return false;
        }
        if (budget.tryConsume(cost, clock.micros())) {
            return true;
        }
        end(Http2Error.ENHANCE_YOUR_CALM, "too many: " + cost.code());
        return false;
    }

    /** Looks after what time brings, and tells how many streams are offered now. */
    void look(long now, int streams) {
        if (over) {
            return;
        }
        switch (standing.check(now, !channel.isWritable())) {
            case TERMINATE -> end(
                    Http2Error.ENHANCE_YOUR_CALM, spoke ? "nothing is read" : "no settings were agreed on");
            case DRAIN -> sayGoodbye(now + server.options().drain());
            case KEEP -> {}
        }
        for (RequestStream stream : List.copyOf(reading)) {
            if (now - stream.since() < MessageRequest.READ_MS * 1000) {
                break;
            }
            refuse(stream, stream.wantsCredit() ? ClientResponse.OVERLOADED : ClientResponse.REQUEST_TIMEOUT);
        }
        if (farewell.hasBegun()) {
            boolean unsent = channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
            step(farewell.check(now, open, unsent));
        } else if (spoke && !over && server.worthTelling(allowance.lastSent(), streams)) {
            allowance.onSettingsSent(streams);
            encoder().writeSettings(context, new Http2Settings().maxConcurrentStreams(streams), context.newPromise());
            flushSoon();
        }
    }

    /** Ends in good order by a time. */
    void sayGoodbye(long until) {
        if (over) {
            return;
        }
        if (!spoke && open == 0) {
            letGo();
        } else {
            step(farewell.begin(clock.micros(), until));
        }
    }

    private void step(GracefulGoAway.Step step) {
        switch (step) {
            case ANNOUNCE -> {
                sayLast(Integer.MAX_VALUE, Http2Error.NO_ERROR, "going");
                encoder().writePing(context, false, FAREWELL_PING, context.newPromise());
                flushSoon();
            }
            case SEND_LAST_STREAM_ID -> {
                sayLast(connection().remote().lastStreamCreated(), Http2Error.NO_ERROR, "going");
                flushSoon();
            }
            case CLOSE -> finish();
            case NONE -> {}
        }
    }

    /** True where a request that came whole has no answer yet. */
    boolean isAnswering() {
        return !over && open > reading.size();
    }

    /** True where the last word is said. */
    boolean isOver() {
        return over;
    }

    private void flushSoon() {
        if (!flushDue) {
            flushDue = true;
            // One call to the system for all that a round has answered.
            context.executor().execute(() -> {
                flushDue = false;
                flush(context);
            });
        }
    }

    // ---- streams

    /**
     * Begins a request.
     *
     * @throws Http2Exception where its stream is refused, or its head makes no sense
     */
    private RequestStream begin(Http2Stream http2, Http2Headers head) throws Http2Exception {
        if (farewell.rejectsNewStreams() || !allowance.allowsNewStream(open) || !server.opens(open == 0)) {
            throw Http2Exception.streamError(http2.id(), Http2Error.REFUSED_STREAM, "never taken");
        }
        RequestStream stream = new RequestStream(this, intake, http2, head, clock.micros());
        http2.setProperty(key, stream);
        open++;
        if (open == 1) {
            server.house().onRequestStarted(this);
            standing.onStreamsChanged(true, clock.micros());
        }
        reading.add(stream);
        if (head.getAll(Http2Headers.PseudoHeaderName.PATH.value()).size() > 1
                || head.getAll(Http2Headers.PseudoHeaderName.METHOD.value()).size() > 1) {
            throw Http2Exception.streamError(http2.id(), Http2Error.PROTOCOL_ERROR, "two of a pseudo header");
        }
        if (stream.length() > MessageRequest.MAX_BODY_BYTES) {
            refuse(stream, ClientResponse.TOO_LARGE);
        } else {
            if (stream.length() > FIRST_WINDOW) {
                stream.wish((int) stream.length() - FIRST_WINDOW);
            }
            CharSequence expect = head.get(HttpHeaderNames.EXPECT);
            if (expect != null && HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expect)) {
                encoder().writeHeaders(context, http2.id(), GO_ON, 0, false, context.newPromise());
                flushSoon();
            }
        }
        return stream;
    }

    /** Hands out a larger window for what is still to come of a body; false where it waits for room in the pool. */
    boolean extend(RequestStream stream, int bytes) {
        if (server.credit().tryAllocate(account, stream.type(), bytes) != ReceiveWindowAllocator.Verdict.GRANTED) {
            server.waits(stream);
            return false;
        }
        stream.grant(bytes);
        widen(stream.stream(), bytes);
        return true;
    }

    /** Guards against slow bodies on another connection that hold what belongs to this one: one of them gives way. */
    void insist(RequestStream stream, int bytes) {
        if (server.credit().check(account, stream.type(), bytes) == ReceiveWindowAllocator.Verdict.AFTER_RECLAIM) {
            server.giveWay(server.credit().largestHolder());
        }
    }

    /** Lets so many more bytes come on a stream, or on the connection, and says so at once. */
    private void widen(Http2Stream which, int bytes) {
        DefaultHttp2LocalFlowController flow =
                (DefaultHttp2LocalFlowController) connection().local().flowController();
        try {
            // Guards against a step that is too small to be told by itself, for which the client would wait for ever.
            flow.windowUpdateRatio(which, AT_ONCE);
            flow.incrementWindowSize(which, bytes);
            if (which.id() == 0) {
                flow.windowUpdateRatio(which, DefaultHttp2LocalFlowController.DEFAULT_WINDOW_UPDATE_RATIO);
            }
            flushSoon();
        } catch (Http2Exception e) {
            onError(context, false, e);
        }
    }

    /**
     * Makes the connection's window wider by what is half read, or narrower once that is over. Guards against half-read
     * bodies that together use it up, so that none can end.
     */
    private void lend(int bytes) {
        lent += bytes;
        if (Math.abs(lent) >= STEP && !over) {
            widen(connection().connectionStream(), lent);
            lent = 0;
        }
    }

    /** The longest half-read body gives way to others, if it has been slow. */
    void giveWay(long slowSince) {
        reading.stream()
                .filter(s -> s.held() > 0 && s.since() < slowSince)
                .findFirst()
                .ifPresent(s -> refuse(s, ClientResponse.OVERLOADED));
    }

    private void whole(RequestStream stream) {
        reading.remove(stream);
        returnCredit(stream);
        stream.whole(
                server.isDraining(),
                unread.earliestArrivalMicros(),
                server.door().unreadSince());
        if (stream.isAwaitingResponse()) {
            stream.life().apply(StreamLifecycle.Event.JOURNALED);
        }
    }

    private void returnCredit(RequestStream stream) {
        int held = stream.held();
        lend(-stream.lent());
        stream.returned();
        if (held > 0) {
            server.credit().release(account, stream.type(), held);
            server.returned();
        }
    }

    /** Answers a request that is not read on, and lets its client know that the rest is not wanted (RFC 9113, 8.1). */
    private void refuse(RequestStream stream, ClientResponse answer) {
        if (answer == ClientResponse.OVERLOADED) {
            server.refusedOne();
        }
        answer(stream, answer, answer == ClientResponse.OVERLOADED ? COME_BACK : 0, StreamLifecycle.Event.REJECTED);
    }

    /** Sends the one answer of a stream, if somebody waits for it. */
    void answer(RequestStream stream, ClientResponse answer, long retryIn, StreamLifecycle.Event event) {
        if (answer == ClientResponse.REJECTED) {
            server.refusedOne();
        }
        if (stream.life().apply(event) != StreamLifecycle.Action.RESPOND) {
            return;
        }
        reading.remove(stream);
        returnCredit(stream);
        Http2Headers headers = ANSWERS.get(answer);
        if (retryIn > 0) {
            headers = new DefaultHttp2Headers(false, 2)
                    .status(answer.status().codeAsText())
                    .add(HttpHeaderNames.RETRY_AFTER, ClientResponse.retryAfter(retryIn));
        }
        encoder().writeHeaders(context, stream.stream().id(), headers, 0, true, context.newPromise());
        if (!stream.isWhole()) {
            resetStream(context, stream.stream().id(), Http2Error.NO_ERROR.code(), context.newPromise());
        }
        flushSoon();
        if (answer.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            allows(FrameBudget.Kind.INVALID_REQUEST);
        }
    }

    /** A stream is closed, by its answer, its client or the connection's end. */
    private void closed(RequestStream stream, StreamLifecycle.Event event) {
        if (stream.life().apply(event) == StreamLifecycle.Action.CONTINUE_WITHOUT_CLIENT) {
            intake.clientDisconnected(stream.releaseMessage());
        }
        reading.remove(stream);
        returnCredit(stream);
        open--;
        server.ended(open == 0);
        if (open == 0) {
            standing.onStreamsChanged(false, clock.micros());
            server.house().onIdle(this);
        }
    }

    private RequestStream stream(int id) {
        Http2Stream http2 = connection().stream(id);
        return http2 == null ? null : http2.getProperty(key);
    }

    /** Hears of frames. A flood is counted frame by frame, and nothing is heeded once the last word is said. */
    private final class Listener extends Http2EventAdapter {
        @Override
        public void onSettingsRead(ChannelHandlerContext ctx, Http2Settings settings) {
            allows(FrameBudget.Kind.SETTINGS);
        }

        /** The client knows what it may: until then it may have as much half read as every connection may at first. */
        @Override
        public void onSettingsAckRead(ChannelHandlerContext ctx) {
            allowance.onSettingsAcknowledged();
            // Guards against Netty's own rule: it would not create a stream that is one too many, and then end the
            // whole
            // connection for the DATA on it.
            connection().remote().maxActiveStreams(Integer.MAX_VALUE);
            if (over || spoke) {
                return;
            }
            spoke = true;
            standing.onSettingsAcknowledged(clock.micros());
            if (open == 0) {
                server.house().onIdle(ClientSession.this);
            } else {
                standing.onStreamsChanged(true, clock.micros());
            }
            int extra = server.credit().allocateWindow(account, server.options().window());
            if (extra > 0) {
                widen(connection().connectionStream(), extra);
            }
            if (server.isDraining()) {
                sayGoodbye(clock.micros() + server.options().drain());
            }
        }

        @Override
        public void onHeadersRead(
                ChannelHandlerContext ctx,
                int id,
                Http2Headers head,
                int dependency,
                short weight,
                boolean exclusive,
                int padding,
                boolean last)
                throws Http2Exception {
            onHeadersRead(ctx, id, head, padding, last);
        }

        @Override
        public void onHeadersRead(ChannelHandlerContext ctx, int id, Http2Headers head, int padding, boolean last)
                throws Http2Exception {
            if (over) {
                return;
            }
            RequestStream stream = stream(id);
            if (stream == null) {
                stream = begin(connection().stream(id), head);
            } else if (!last) {
                throw Http2Exception.streamError(id, Http2Error.PROTOCOL_ERROR, "a second head");
            }
            if (last && stream.life().state() == StreamLifecycle.State.READING) {
                whole(stream);
            }
        }

        @Override
        public int onDataRead(ChannelHandlerContext ctx, int id, ByteBuf data, int padding, boolean last)
                throws Http2Exception {
            int bytes = data.readableBytes();
            int all = bytes + padding;
            if (over || bytes == 0 && !last && !allows(FrameBudget.Kind.EMPTY_DATA)) {
                return all;
            }
            RequestStream stream = stream(id);
            if (stream == null || stream.life().state() != StreamLifecycle.State.READING) {
                return all;
            }
            if (stream.size() + bytes > MessageRequest.MAX_BODY_BYTES) {
                refuse(stream, ClientResponse.TOO_LARGE);
                return all;
            }
            stream.add(data);
            if (last) {
                connection().local().flowController().consumeBytes(stream.stream(), stream.size() - bytes);
                whole(stream);
                return all;
            }
            if (stream.mayNeedMore()) {
                stream.wish(Math.min(STEP, MOST_WINDOW - stream.granted()));
            }
            stream.lend(bytes);
            lend(bytes);
            return padding;
        }

        @Override
        public void onStreamClosed(Http2Stream http2) {
            RequestStream stream = http2.getProperty(key);
            if (stream != null) {
                closed(
                        stream,
                        channel.isActive() ? StreamLifecycle.Event.RESET : StreamLifecycle.Event.CONNECTION_LOST);
            }
        }

        @Override
        public void onRstStreamRead(ChannelHandlerContext ctx, int id, long error) {
            allows(FrameBudget.Kind.RESET);
        }

        @Override
        public void onPingRead(ChannelHandlerContext ctx, long data) {
            allows(FrameBudget.Kind.PING);
        }

        @Override
        public void onPingAckRead(ChannelHandlerContext ctx, long data) {
            if (data == FAREWELL_PING && !over) {
                step(farewell.onPingAcknowledged(clock.micros()));
            }
        }

        @Override
        public void onPriorityRead(ChannelHandlerContext ctx, int id, int dependency, short weight, boolean exclusive) {
            allows(FrameBudget.Kind.PRIORITY);
        }

        @Override
        public void onWindowUpdateRead(ChannelHandlerContext ctx, int id, int increment) {
            allows(FrameBudget.Kind.WINDOW_UPDATE);
        }

        @Override
        public void onUnknownFrame(ChannelHandlerContext ctx, byte type, int id, Http2Flags flags, ByteBuf payload) {
            allows(FrameBudget.Kind.UNKNOWN);
        }
    }
}
