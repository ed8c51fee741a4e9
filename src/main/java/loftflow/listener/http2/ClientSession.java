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
 * An HTTP/2 client connection: handshake, time limits, graceful shutdown and close. It carries out the decisions of
 * {@code listener.http2.flowcontrol}; streams, receive windows and received frames are handled by other classes of this
 * package. For use on the event loop only.
 */
final class ClientSession extends Http2ConnectionHandler {
    /** The payload of the PING that follows the first GOAWAY: "goodbye" in ASCII. */
    private static final long GO_AWAY_PING_PAYLOAD = 0x676f6f64627965L;

    /** The id of the stream that carries the request of an upgrade from HTTP/1.1 (RFC 7540, section 3.2). */
    private static final int UPGRADE_STREAM_ID = 1;

    // Debug data of GOAWAY frames, which clients may log.
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

    /** Null until this handler is added to the pipeline, after the preface or an upgrade from HTTP/1.1. */
    private ChannelHandlerContext context;

    private boolean isHandshakeComplete;
    private boolean isFlushScheduled;
    /** Whether the last frame has been written or the channel is closed. */
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
        // Decouples close and GOAWAY: Netty sends no GOAWAY when the channel is closed. This class controls the
        // shutdown.
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

    // ---- Netty events

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

    /** Handles the complete HTTP/1.1 request that asked for the upgrade (RFC 7540, section 3.2). */
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

    /** Pauses reading while the client does not read its responses. */
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

    /** Returns whether the client has acknowledged the first SETTINGS. */
    boolean isHandshakeComplete() {
        return isHandshakeComplete;
    }

    /**
     * Handles the acknowledgement of SETTINGS. The first one completes the handshake and extends the connection's
     * window; until then, the client can send only what the initial window allows.
     */
    void onSettingsAcknowledged() {
        streamLimit.onSettingsAcknowledged();
        // If Netty enforced the limit, it would not create a stream beyond it, and DATA on that stream would end the
        // connection. So Netty creates every stream, and this class refuses those beyond the limit.
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

    /** Returns whether the client may open another stream on this connection. */
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

    /** Resets a stream with NO_ERROR after its response has been written. */
    void resetStream(int streamId) {
        resetStream(context, streamId, Http2Error.NO_ERROR.code(), context.newPromise());
    }

    /** Schedules one flush for all responses of an event-loop iteration, so that they take a single system call. */
    void flushSoon() {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            context.executor().execute(() -> {
                isFlushScheduled = false;
                flush(context);
            });
        }
    }

    /** Returns whether a completely received request has no response yet. */
    boolean hasRequestInProgress() {
        return !isFinished && streams.hasRequestInProgress();
    }

    /** Reads the bytes that are pending in the socket. */
    void readPending() {
        UnreadBytes.read(channel);
    }

    // ---- shutdown and close

    /** Returns whether the last frame has been written or the channel is closed. */
    boolean isFinished() {
        return isFinished;
    }

    /** Counts a frame against the budget; returns false if the connection has ended, possibly because of this frame. */
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

    /** Applies the time limits, and sends a changed stream limit to the client; to be called periodically. */
    void check(long nowMicros, int currentStreamLimit) {
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
            apply(goAway.check(nowMicros, streams.openStreams(), hasUnsentBytes));
        } else if (isHandshakeComplete
                && !isFinished
                && listener.streamCapacity().shouldAnnounce(streamLimit.lastSent(), currentStreamLimit)) {
            sendStreamLimit(currentStreamLimit);
        }
    }

    private void sendStreamLimit(int limit) {
        streamLimit.onSettingsSent(limit);
        encoder().writeSettings(context, new Http2Settings().maxConcurrentStreams(limit), context.newPromise());
        flushSoon();
    }

    /** Starts a graceful shutdown, which closes the connection at the deadline at the latest. */
    void drain(long deadlineMicros) {
        if (isFinished) {
            return;
        }
        if (!isHandshakeComplete && streams.openStreams() == 0) {
            evict();
        } else {
            apply(goAway.begin(clock.micros(), deadlineMicros));
        }
    }

    /** Handles the acknowledgement of a PING. */
    void onPingAcknowledged(long payload) {
        if (payload == GO_AWAY_PING_PAYLOAD && !isFinished) {
            apply(goAway.onPingAcknowledged(clock.micros()));
        }
    }

    private void apply(GracefulGoAway.Step step) {
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

    /** Ends the connection at once because of the connection limit, or during a drain because it has no stream. */
    void evict() {
        terminate(Http2Error.NO_ERROR, EVICTED);
    }

    /** Sends GOAWAY and closes the connection. Accepted messages are still processed. */
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

    /** Handles the close of the channel. */
    void onChannelClosed() {
        isFinished = true;
        listener.connections().onClosed(this);
        flowControl.close();
    }
}
