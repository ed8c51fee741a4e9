package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2EventAdapter;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Flags;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2Stream;
import loftflow.listener.http2.flowcontrol.FrameBudget;
import loftflow.listener.http2.flowcontrol.StreamLifecycle;
import loftflow.listener.request.ClientResponse;
import loftflow.protocol.ClientProtocol;

/**
 * Dispatches the received frames of one connection. Frames that carry no message count against {@link FrameBudget}, and
 * frames received after the connection's last GOAWAY was sent are ignored.
 */
final class FrameListener extends Http2EventAdapter {
    private final ClientSession session;
    private final StreamTable streams;
    private final SessionFlowControl flowControl;

    FrameListener(ClientSession session, StreamTable streams, SessionFlowControl flowControl) {
        this.session = session;
        this.streams = streams;
        this.flowControl = flowControl;
    }

    @Override
    public void onSettingsRead(ChannelHandlerContext ctx, Http2Settings settings) {
        session.tryConsume(FrameBudget.Kind.SETTINGS);
    }

    @Override
    public void onSettingsAckRead(ChannelHandlerContext ctx) {
        session.onSettingsAcknowledged();
    }

    @Override
    public void onHeadersRead(
            ChannelHandlerContext ctx,
            int streamId,
            Http2Headers head,
            int streamDependency,
            short weight,
            boolean isExclusive,
            int padding,
            boolean isEndOfStream)
            throws Http2Exception {
        onHeadersRead(ctx, streamId, head, padding, isEndOfStream);
    }

    @Override
    public void onHeadersRead(
            ChannelHandlerContext ctx, int streamId, Http2Headers head, int padding, boolean isEndOfStream)
            throws Http2Exception {
        if (session.isFinished()) {
            return;
        }
        RequestStream stream = streams.get(streamId);
        if (stream == null) {
            stream = streams.begin(session.connection().stream(streamId), head);
        } else if (!isEndOfStream) {
            throw Http2Exception.streamError(
                    streamId, Http2Error.PROTOCOL_ERROR, "HEADERS without END_STREAM on an open stream");
        }
        if (isEndOfStream && stream.isReading()) {
            streams.onRequestComplete(stream);
        }
    }

    /**
     * Handles DATA, and returns the number of bytes that Netty may count as processed. The bytes of partly received
     * bodies count as processed once the body is complete.
     */
    @Override
    public int onDataRead(ChannelHandlerContext ctx, int streamId, ByteBuf data, int padding, boolean isEndOfStream)
            throws Http2Exception {
        int dataBytes = data.readableBytes();
        int frameBytes = dataBytes + padding;
        boolean isEmpty = dataBytes == 0 && !isEndOfStream;
        if (session.isFinished() || isEmpty && !session.tryConsume(FrameBudget.Kind.EMPTY_DATA)) {
            return frameBytes;
        }
        RequestStream stream = streams.get(streamId);
        if (stream == null || !stream.isReading()) {
            return frameBytes;
        }
        if (stream.bodyBytes() + dataBytes > ClientProtocol.MAX_BODY_BYTES) {
            streams.reject(stream, ClientResponse.TOO_LARGE);
            return frameBytes;
        }
        stream.append(data);
        if (isEndOfStream) {
            flowControl.consume(stream, stream.bodyBytes() - dataBytes);
            streams.onRequestComplete(stream);
            return frameBytes;
        }
        if (stream.needsLargerWindow()) {
            int remainingBytes = SessionFlowControl.MAX_STREAM_WINDOW_BYTES - stream.windowBytes();
            stream.requestWindow(Math.min(SessionFlowControl.STEP_BYTES, remainingBytes));
        }
        flowControl.compensateConnectionWindow(stream, dataBytes);
        return padding;
    }

    @Override
    public void onStreamClosed(Http2Stream http2Stream) {
        RequestStream stream = streams.get(http2Stream);
        if (stream != null) {
            boolean isConnected = session.channel().isActive();
            streams.onClosed(stream, isConnected ? StreamLifecycle.Event.RESET : StreamLifecycle.Event.CONNECTION_LOST);
        }
    }

    @Override
    public void onRstStreamRead(ChannelHandlerContext ctx, int streamId, long errorCode) {
        session.tryConsume(FrameBudget.Kind.RESET);
    }

    @Override
    public void onPingRead(ChannelHandlerContext ctx, long data) {
        session.tryConsume(FrameBudget.Kind.PING);
    }

    @Override
    public void onPingAckRead(ChannelHandlerContext ctx, long data) {
        session.onPingAcknowledged(data);
    }

    @Override
    public void onPriorityRead(
            ChannelHandlerContext ctx, int streamId, int streamDependency, short weight, boolean isExclusive) {
        session.tryConsume(FrameBudget.Kind.PRIORITY);
    }

    @Override
    public void onWindowUpdateRead(ChannelHandlerContext ctx, int streamId, int windowSizeIncrement) {
        session.tryConsume(FrameBudget.Kind.WINDOW_UPDATE);
    }

    @Override
    public void onUnknownFrame(
            ChannelHandlerContext ctx, byte frameType, int streamId, Http2Flags flags, ByteBuf payload) {
        session.tryConsume(FrameBudget.Kind.UNKNOWN);
    }
}
