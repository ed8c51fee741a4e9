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

/** Writes GOAWAY, and closes a connection after its last frame. */
final class ConnectionTerminator {
    /** The time for which the connection stays half-closed, so that the client can read the last frames. */
    private static final long LINGER_MILLIS = 1_000;

    private final ClientSession session;
    private final Channel channel;

    ConnectionTerminator(ClientSession session, Channel channel) {
        this.session = session;
        this.channel = channel;
    }

    /**
     * Writes GOAWAY without updating Netty's connection state. Once Netty has recorded a GOAWAY, DATA on a stream above
     * its last stream id would end the connection and with it all open streams.
     *
     * @param debugData the reason in ASCII, which the client may log
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
     * Flushes, half-closes the connection and discards further bytes from the client: a close with unread bytes would
     * reset the connection, and the client might lose the last frames. Closes at once if the client does not read.
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
