package loftflow.listener.http2;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Writes GOAWAY and closes a connection after its last frame. */
final class ConnectionTerminator {
    /** How long the connection stays half-closed, for the client to read its last frames. */
    private static final long LINGER_MILLIS = 1_000;

    private final ClientSession session;
    private final Channel channel;

    ConnectionTerminator(ClientSession session, Channel channel) {
        this.session = session;
        this.channel = channel;
    }

    /**
     * Writes GOAWAY, bypassing Netty's connection state: once Netty knows of a GOAWAY, DATA on a later stream ends the
     * connection, and with it the streams that are open.
     *
     * @param debugData the reason, for the client's log
     */
    void writeGoAway(int lastStreamId, Http2Error error, String debugData) {
        session.encoder()
                .frameWriter()
                .writeGoAway(
                        session.context(),
                        lastStreamId,
                        error.code(),
                        Unpooled.copiedBuffer(debugData, StandardCharsets.US_ASCII),
                        session.context().newPromise());
    }

    /**
     * Flushes, half-closes the connection and discards what the client still sends: closing it with unread bytes would
     * reset it, and the client might lose the last frames.
     */
    void close() {
        ChannelHandlerContext context = session.context();
        session.flush(context);
        if (!channel.isWritable()) {
            context.close();
            return;
        }
        context.pipeline().addFirst(new DiscardHandler());
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Discards received bytes. */
    private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            ReferenceCountUtil.release(bytes);
        }
    }
}
