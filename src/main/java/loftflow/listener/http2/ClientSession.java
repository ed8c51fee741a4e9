package loftflow.listener.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2ConnectionDecoder;
import io.netty.handler.codec.http2.Http2ConnectionEncoder;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.HttpConversionUtil;
import loftflow.engine.Clock;
import loftflow.engine.MessageAcceptor;
import loftflow.http.UnreadBytes;
import loftflow.listener.connection.ArrivalTimeBound;
import loftflow.listener.http2.flowcontrol.AcknowledgedStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.listener.http2.flowcontrol.FrameBudget;
import loftflow.listener.http2.flowcontrol.GracefulGoAway;

/**
 * The connection of one client, from its handshake to its end. It applies what {@code listener.http2.flowcontrol}
 * decides; streams, windows and frames have classes of their own. For use on the event loop only.
 */
final class ClientSession extends Http2ConnectionHandler {
    /** The payload of the PING behind the first GOAWAY: "goodbye" in ASCII. */
    private static final long GO_AWAY_PING_PAYLOAD = 0x676f6f64627965L;

    /** The id of the stream that an upgrade from HTTP/1.1 begins with. */
    private static final int UPGRADE_STREAM_ID = 1;

    // Debug data of GOAWAY, which clients may log.
    private static final String EVICTED = "others come";
    private static final String GOING_AWAY = "going";
    private static final String FLOOD_PREFIX = "too many: ";
    private static final String WRITE_STALLED = "nothing is read";
    private static final String HANDSHAKE_TIMEOUT = "no settings were agreed on";

    private final Http2Listener listener;
    private final Clock clock;
    private final Channel channel;
    private final FrameBudget frameBudget;
    private final ConnectionExpiry expiry;
    private final GracefulGoAway goAway = new GracefulGoAway();
    private final SessionFlowControl flowControl;
    private final ArrivalTimeBound arrivalTimeBound;
    private final AcknowledgedStreamLimit streamLimit;
    private final StreamTable streams;
    private final ConnectionTerminator terminator;

    /** Null until the handler is added to the pipeline, which an upgrade from HTTP/1.1 does. */
    private ChannelHandlerContext context;

    private boolean isHandshakeComplete;
    private boolean isFlushScheduled;
    /** The last frame has been written, or the channel is closed. */
    private boolean isFinished;

    ClientSession(
            Http2ConnectionDecoder decoder,
            Http2ConnectionEncoder encoder,
            Http2Settings settings,
            Http2Listener listener,
            MessageAcceptor messageAcceptor,
            Clock clock,
            Channel channel,
            double ageJitter) {
        // Netty does not close the channel after a GOAWAY of its own: this class decides about the end.
        super(decoder, encoder, settings, true);
        this.listener = listener;
        this.clock = clock;
        this.channel = channel;
        frameBudget = new FrameBudget(listener.options().resetsPerSecond());
        expiry = new ConnectionExpiry(listener.options().expiry(), clock.micros(), ageJitter);
        flowControl = new SessionFlowControl(this, listener.receiveWindows());
        arrivalTimeBound = new ArrivalTimeBound(listener.acceptor(), clock.micros());
        streamLimit =
                new AcknowledgedStreamLimit(settings.maxConcurrentStreams().intValue());
        streams = new StreamTable(this, listener.streamCapacity(), flowControl, messageAcceptor);
        terminator = new ConnectionTerminator(this, channel);
        FrameListener frameListener = new FrameListener(this, streams, flowControl);
        connection().addListener(frameListener);
        decoder.frameListener(frameListener);
    }

    ChannelHandlerContext context() {
        return context;
    }

    Channel channel() {
        return channel;
    }

    SessionFlowControl flowControl() {
        return flowControl;
    }

    StreamTable streams() {
        return streams;
    }

    long nowMicros() {
        return clock.micros();
    }

    // ---- Netty's events

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof HttpServerUpgradeHandler.UpgradeEvent upgrade) {
            onUpgrade(upgrade.upgradeRequest());
        }
        super.userEventTriggered(ctx, event);
    }

    /** Handles the request with the upgrade, which is complete (RFC 7540, section 3.2). */
    private void onUpgrade(FullHttpRequest request) throws Http2Exception {
        request.headers().set(HttpConversionUtil.ExtensionHeaderNames.SCHEME.text(), "http");
        Http2Headers head = HttpConversionUtil.toHttp2Headers(request, true);
        RequestStream stream = streams.begin(connection().stream(UPGRADE_STREAM_ID), head);
        if (stream.isReading()) {
            stream.append(request.content());
            streams.onRequestComplete(stream);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        if (isFinished) {
            ctx.close();
        } else {
            super.exceptionCaught(ctx, cause);
        }
    }

    @Override
    protected void onStreamError(
            ChannelHandlerContext ctx, boolean outbound, Throwable cause, Http2Exception.StreamException error) {
        switch (error.error()) {
            case REFUSED_STREAM -> listener.streamCapacity().onRejected();
            case STREAM_CLOSED -> tryConsume(FrameBudget.Kind.CLOSED_STREAM);
            default -> tryConsume(FrameBudget.Kind.STREAM_ERROR);
        }
        if (isFinished) {
            return;
        }
        super.onStreamError(ctx, outbound, cause, error);
    }

    /** Pauses reading from a client that does not read its responses. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        super.channelWritabilityChanged(ctx);
        if (!channel.isWritable()) {
            arrivalTimeBound.onReadPaused();
        }
        channel.config().setAutoRead(channel.isWritable());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (channel.config().isAutoRead()) {
            arrivalTimeBound.onReadCaughtUp();
        }
        super.channelReadComplete(ctx);
    }

    // ---- handshake

    /** Returns true where the client has acknowledged SETTINGS. */
    boolean isHandshakeComplete() {
        return isHandshakeComplete;
    }

    /**
     * The client has acknowledged SETTINGS. With the first ones the handshake is complete, and the connection's window
     * is extended; until then the client may have as much in transit as the initial window allows.
     */
    void onSettingsAcknowledged() {
        streamLimit.onSettingsAcknowledged();
        // Netty does not create a stream beyond the limit, and ends the connection for the DATA on it. Streams beyond
        // the limit are created and refused here.
        connection().remote().maxActiveStreams(Integer.MAX_VALUE);
        if (isFinished || isHandshakeComplete) {
            return;
        }
        isHandshakeComplete = true;
        expiry.onSettingsAcknowledged(clock.micros());
        if (streams.openStreams() == 0) {
            listener.connections().onIdle(this);
        } else {
            expiry.onStreamsChanged(true, clock.micros());
        }
        flowControl.extendConnectionWindow(listener.options().windowBytes());
        if (listener.isDraining()) {
            drain(clock.micros() + listener.options().drainTimeoutMicros());
        }
    }

    // ---- streams

    /** Returns true where this connection may open a stream in addition to those that are open. */
    boolean acceptsNewStream(int openStreams) {
        return !goAway.rejectsNewStreams() && streamLimit.allowsNewStream(openStreams);
    }

    void onFirstStreamOpened() {
        listener.connections().onRequestReceived(this);
        expiry.onStreamsChanged(true, clock.micros());
    }

    void onLastStreamClosed() {
        expiry.onStreamsChanged(false, clock.micros());
        listener.connections().onIdle(this);
    }

    /** Handles a complete request. */
    void handle(RequestStream stream) {
        stream.onComplete(
                listener.isDraining(),
                arrivalTimeBound.earliestArrivalMicros(),
                listener.acceptor().earliestByteArrivalMicros());
    }

    void writeHeaders(int streamId, Http2Headers headers, boolean isEndOfStream) {
        encoder().writeHeaders(context, streamId, headers, 0, isEndOfStream, context.newPromise());
    }

    /** Resets a stream whose response has been written, without an error. */
    void resetStream(int streamId) {
        resetStream(context, streamId, Http2Error.NO_ERROR.code(), context.newPromise());
    }

    /** Flushes once for all responses of an iteration of the event loop, which takes a single system call. */
    void flushSoon() {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            context.executor().execute(() -> {
                isFlushScheduled = false;
                flush(context);
            });
        }
    }

    /** Returns true where a complete request has no response yet. */
    boolean hasRequestInProgress() {
        return !isFinished && streams.hasRequestInProgress();
    }

    /** Reads pending bytes. */
    void readPending() {
        UnreadBytes.read(channel);
    }

    // ---- the end of the connection

    /** Returns true where the last frame has been written. */
    boolean isFinished() {
        return isFinished;
    }

    /** Counts a frame; returns false where the connection has ended, as it does by a flood of frames. */
    boolean tryConsume(FrameBudget.Kind kind) {
        if (isFinished) {
            return false;
        }
        if (frameBudget.tryConsume(kind, clock.micros())) {
            return true;
        }
        terminate(Http2Error.ENHANCE_YOUR_CALM, FLOOD_PREFIX + kind.code());
        return false;
    }

    /** Applies time limits, and sends a changed offer of streams; to be called periodically. */
    void check(long nowMicros, int offeredStreams) {
        if (isFinished) {
            return;
        }
        switch (expiry.check(nowMicros, !channel.isWritable())) {
            case TERMINATE -> terminate(
                    Http2Error.ENHANCE_YOUR_CALM, isHandshakeComplete ? WRITE_STALLED : HANDSHAKE_TIMEOUT);
            case DRAIN -> drain(nowMicros + listener.options().drainTimeoutMicros());
            case KEEP -> {}
        }
        streams.rejectTimedOut(nowMicros);
        if (goAway.hasBegun()) {
            boolean hasUnsentBytes =
                    channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
            perform(goAway.check(nowMicros, streams.openStreams(), hasUnsentBytes));
        } else if (isHandshakeComplete
                && !isFinished
                && listener.streamCapacity().shouldAnnounce(streamLimit.lastSent(), offeredStreams)) {
            sendStreamLimit(offeredStreams);
        }
    }

    private void sendStreamLimit(int limit) {
        streamLimit.onSettingsSent(limit);
        encoder().writeSettings(context, new Http2Settings().maxConcurrentStreams(limit), context.newPromise());
        flushSoon();
    }

    /** Shuts down gracefully, by a deadline. */
    void drain(long deadlineMicros) {
        if (isFinished) {
            return;
        }
        if (!isHandshakeComplete && streams.openStreams() == 0) {
            evict();
        } else {
            perform(goAway.begin(clock.micros(), deadlineMicros));
        }
    }

    /** The client has acknowledged a PING. */
    void onPingAcknowledged(long payload) {
        if (payload == GO_AWAY_PING_PAYLOAD && !isFinished) {
            perform(goAway.onPingAcknowledged(clock.micros()));
        }
    }

    private void perform(GracefulGoAway.Step step) {
        switch (step) {
            case ANNOUNCE -> {
                terminator.writeGoAway(Integer.MAX_VALUE, Http2Error.NO_ERROR, GOING_AWAY);
                encoder().writePing(context, false, GO_AWAY_PING_PAYLOAD, context.newPromise());
                flushSoon();
            }
            case SEND_LAST_STREAM_ID -> {
                terminator.writeGoAway(connection().remote().lastStreamCreated(), Http2Error.NO_ERROR, GOING_AWAY);
                flushSoon();
            }
            case CLOSE -> finish();
            case NONE -> {}
        }
    }

    /** Ends at once, as the connection limit is reached or there is nothing to wait for. */
    void evict() {
        terminate(Http2Error.NO_ERROR, EVICTED);
    }

    /** Sends GOAWAY and ends; messages that were accepted go on. */
    private void terminate(Http2Error error, String debugData) {
        if (isFinished) {
            return;
        }
        if (context == null) {
            isFinished = true;
            channel.close();
            return;
        }
        terminator.writeGoAway(connection().remote().lastStreamCreated(), error, debugData);
        finish();
    }

    private void finish() {
        isFinished = true;
        terminator.close();
    }

    /** The channel is closed. */
    void onChannelClosed() {
        isFinished = true;
        listener.connections().onClosed(this);
        flowControl.close();
    }
}
