package loftflow.experiment.loopback;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import loftflow.protocol.CompletionProtocol;

/** Receives completion notices of relays (PROTOCOL, Notices) and forwards rejections and failures to the clients. */
final class CompletionServer {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long MICROS_PER_MILLI = 1_000;

    private final LoadGenerator loadGenerator;
    private final int port;

    CompletionServer(RunContext context, LoadGenerator loadGenerator) {
        this.loadGenerator = loadGenerator;
        Channel listener = LoopbackHttp.listen(context.loop(), 0, NoticeHandler::new)
                .syncUninterruptibly()
                .channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private final class NoticeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            readNotices(ByteBufUtil.getBytes(request.content()));
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void readNotices(byte[] body) throws IOException {
        String reference = null;
        String result = null;
        long retryAfterMillis = 0;
        try (JsonParser json = JSON.createParser(body)) {
            for (JsonToken token = json.nextToken(); token != null; token = json.nextToken()) {
                if (token == JsonToken.FIELD_NAME) {
                    switch (json.currentName()) {
                        case CompletionProtocol.MESSAGE_ID -> reference = json.nextTextValue();
                        case CompletionProtocol.RESULT -> result = json.nextTextValue();
                        case CompletionProtocol.RETRY_AFTER_MILLIS -> retryAfterMillis = json.nextLongValue(0);
                        default -> {}
                    }
                } else if (token == JsonToken.END_OBJECT) {
                    if (!CompletionProtocol.RESULT_DELIVERED.equals(result)) {
                        loadGenerator.onCompletion(
                                reference,
                                CompletionProtocol.RESULT_REJECTED.equals(result),
                                retryAfterMillis * MICROS_PER_MILLI);
                    }
                    retryAfterMillis = 0;
                }
            }
        }
    }
}
