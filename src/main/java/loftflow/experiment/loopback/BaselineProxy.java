package loftflow.experiment.loopback;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loftflow.http.Headers;

/**
 * What a relay would be that decides nothing and keeps nothing: it sends each message to its destination's next
 * endpoint and gives
 * the endpoint's answer, 202 for 200 and 503 for the rest. One event loop and Netty's own codecs, as a relay has them;
 * what a
 * relay takes beside it is the price of journal, decisions and rules.
 */
public final class BaselineProxy {
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, List<LoopbackHttp.Pool>> destinations = new HashMap<>();
    private int turn;

    private BaselineProxy() {}

    /** Serves on a free loopback port until it is ended; arguments are {@code DESTINATION=HOST:PORT}. */
    public static void main(String[] arguments) {
        BaselineProxy proxy = new BaselineProxy();
        for (String argument : arguments) {
            String[] parts = argument.split("[=:]");
            proxy.destinations
                    .computeIfAbsent("dest=" + parts[0], d -> new ArrayList<>())
                    .add(new LoopbackHttp.Pool(
                            proxy.loop, new InetSocketAddress(parts[1], Integer.parseInt(parts[2]))));
        }
        Channel listener = LoopbackHttp.listen(proxy.loop, 0, () -> proxy.new Requests())
                .syncUninterruptibly()
                .channel();
        System.out.println("serving on " + listener.localAddress());
    }

    /** A client's connection; it sends one message at a time. */
    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Channel client = ctx.channel();
            List<LoopbackHttp.Pool> endpoints =
                    destinations.get(request.headers().get(Headers.CONSIGNEE, ""));
            if (endpoints == null) {
                answer(client, HttpResponseStatus.NOT_FOUND);
                return;
            }
            FullHttpRequest call = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/receive",
                    request.content().retain());
            call.headers()
                    .set(HttpHeaderNames.HOST, "endpoint")
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            for (String name : List.of(Headers.CALL_ID, Headers.CALL_CLASS, Headers.BUDGET, Headers.KEY)) {
                String value = request.headers().get(name);
                if (value != null) {
                    call.headers().set(name, value);
                }
            }
            endpoints.get(Math.floorMod(turn++, endpoints.size())).send(call, new LoopbackHttp.Reply() {
                @Override
                public void answered(FullHttpResponse response) {
                    answer(
                            client,
                            response.status().code() == HttpResponseStatus.OK.code()
                                    ? HttpResponseStatus.ACCEPTED
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE);
                }

                @Override
                public void unreached() {
                    answer(client, HttpResponseStatus.SERVICE_UNAVAILABLE);
                }

                @Override
                public void cut() {
                    answer(client, HttpResponseStatus.SERVICE_UNAVAILABLE);
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static void answer(Channel client, HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        client.writeAndFlush(response);
    }
}
