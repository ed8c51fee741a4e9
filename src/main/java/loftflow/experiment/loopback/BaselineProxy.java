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
import loftflow.protocol.ClientProtocol;
import loftflow.protocol.HostProtocol;
import loftflow.protocol.MessageHeaders;

/**
 * A proxy without decisions or storage, as a baseline for the cost of a relay: it forwards each message to the next
 * endpoint of its destination and maps the response, 200 to 202 and everything else to 503. Like a relay it uses one
 * event loop and Netty's own codecs.
 */
public final class BaselineProxy {
    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, List<LoopbackHttp.ConnectionPool>> destinations = new HashMap<>();
    private int nextEndpoint;

    private BaselineProxy() {}

    /** Serves on a free loopback port until it is killed; arguments are {@code DESTINATION=HOST:PORT}. */
    public static void main(String[] arguments) {
        BaselineProxy proxy = new BaselineProxy();
        for (String argument : arguments) {
            String[] parts = argument.split("[=:]");
            proxy.destinations
                    .computeIfAbsent(ClientProtocol.DESTINATION_FIELD + parts[0], d -> new ArrayList<>())
                    .add(new LoopbackHttp.ConnectionPool(
                            proxy.loop, new InetSocketAddress(parts[1], Integer.parseInt(parts[2]))));
        }
        Channel listener = LoopbackHttp.listen(proxy.loop, 0, () -> proxy.new MessageHandler())
                .syncUninterruptibly()
                .channel();
        System.out.println("serving on " + listener.localAddress());
    }

    /** Receives the messages of one connection, on which a client sends one at a time. */
    private final class MessageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Channel client = ctx.channel();
            List<LoopbackHttp.ConnectionPool> endpoints =
                    destinations.get(request.headers().get(MessageHeaders.DESTINATION, ""));
            if (endpoints == null) {
                respond(client, HttpResponseStatus.NOT_FOUND);
                return;
            }
            endpoints
                    .get(Math.floorMod(nextEndpoint++, endpoints.size()))
                    .send(forwarded(request), new LoopbackHttp.ResponseListener() {
                        @Override
                        public void onResponse(FullHttpResponse response) {
                            respond(
                                    client,
                                    response.status().code() == HttpResponseStatus.OK.code()
                                            ? HttpResponseStatus.ACCEPTED
                                            : HttpResponseStatus.SERVICE_UNAVAILABLE);
                        }

                        @Override
                        public void onConnectFailed() {
                            respond(client, HttpResponseStatus.SERVICE_UNAVAILABLE);
                        }

                        @Override
                        public void onConnectionLost() {
                            respond(client, HttpResponseStatus.SERVICE_UNAVAILABLE);
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The request to an endpoint, with the same body and the headers that endpoints use. */
    private static FullHttpRequest forwarded(FullHttpRequest request) {
        FullHttpRequest call = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                HostProtocol.SINGLE_PATH,
                request.content().retain());
        call.headers()
                .set(HttpHeaderNames.HOST, "endpoint")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        for (String name : List.of(
                MessageHeaders.MESSAGE_ID,
                MessageHeaders.REQUEST_CLASS,
                MessageHeaders.TIMEOUT_MILLIS,
                MessageHeaders.IDEMPOTENCY_KEY)) {
            String value = request.headers().get(name);
            if (value != null) {
                call.headers().set(name, value);
            }
        }
        return call;
    }

    private static void respond(Channel client, HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        client.writeAndFlush(response);
    }
}
