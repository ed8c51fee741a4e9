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

/** Where relays tell ends (PROTOCOL, Notices): each is heard at once, with its time. */
final class CompletionServer {
    private static final JsonFactory JSON = new JsonFactory();

    private final LoadGenerator programs;
    private final int port;

    CompletionServer(RunContext world, LoadGenerator programs) {
        this.programs = programs;
        Channel listener = LoopbackHttp.listen(world.loop(), 0, Hears::new)
                .syncUninterruptibly()
                .channel();
        port = ((InetSocketAddress) listener.localAddress()).getPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private final class Hears extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            String ref = null;
            String result = null;
            long wait = 0;
            try (JsonParser json = JSON.createParser(ByteBufUtil.getBytes(request.content()))) {
                for (JsonToken token = json.nextToken(); token != null; token = json.nextToken()) {
                    if (token == JsonToken.FIELD_NAME) {
                        switch (json.currentName()) {
                            case "ref" -> ref = json.nextTextValue();
                            case "result" -> result = json.nextTextValue();
                            case "wait_ms" -> wait = json.nextLongValue(0);
                            default -> {}
                        }
                    } else if (token == JsonToken.END_OBJECT) {
                        if (!"done".equals(result)) {
                            programs.told(ref, "bounced".equals(result), wait * 1_000);
                        }
                        wait = 0;
                    }
                }
            }
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
