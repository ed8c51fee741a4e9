package loftflow.experiment.loopback;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import loftflow.experiment.emulator.EmulatedEndpoint;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.scenario.Scenario;
import loftflow.protocol.HostProtocol;
import loftflow.protocol.MessageHeaders;

/**
 * An endpoint on a loopback port (PROTOCOL, Relays to hosts). The emulated endpoint decides the response and its time;
 * this class translates it to HTTP. To be used on the run's event loop only.
 */
final class EndpointServer {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String PROBE_PATH_PREFIX = "/-/";
    /** The relay whose call on a connection will get no response. */
    private static final AttributeKey<Integer> UNANSWERED_RELAY = AttributeKey.valueOf("lab.silent-for");

    private final RunContext context;
    private final EmulatedEndpoint endpoint;
    private final Scenario.Layout layout;
    private final Set<Channel> openConnections = new HashSet<>();
    private Channel listener;
    private int port;

    EndpointServer(RunContext context, EmulatedEndpoint endpoint, Scenario.Layout layout) {
        this.context = context;
        this.endpoint = endpoint;
        this.layout = layout;
        Channel bound = startListening().syncUninterruptibly().channel();
        port = ((InetSocketAddress) bound.localAddress()).getPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Accepts connections, on the same port after every restart. */
    ChannelFuture startListening() {
        if (listener != null && listener.isOpen()) {
            return listener.newSucceededFuture();
        }
        ChannelFuture bound = LoopbackHttp.listen(context.loop(), port, CallHandler::new);
        listener = bound.channel();
        return bound;
    }

    /** Refuses new connections and closes the open ones. */
    void stopListening() {
        listener.close();
        List.copyOf(openConnections).forEach(Channel::close);
    }

    private int number() {
        return endpoint.endpoint().number();
    }

    /** Receives the calls of one connection, on which a relay sends one at a time. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            openConnections.add(ctx.channel());
            context.history().callCounts().count(CallCounts.Metric.CONNECTIONS, CallCounts.NONE, number());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections.remove(ctx.channel());
            Integer relay = ctx.channel().attr(UNANSWERED_RELAY).getAndSet(null);
            if (relay != null) {
                endpoint.onAbandonedBy(relay);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            String path = request.uri();
            if (path.startsWith(PROBE_PATH_PREFIX)) {
                EmulatedEndpoint.CallResult result = endpoint.receiveProbe(CallCounts.NONE, context.nowMicros());
                scheduleResponse(ctx, new PendingCall(CallCounts.NONE, 0, List.of(), false), result);
            } else if (path.equals(HostProtocol.SINGLE_PATH)) {
                receiveCall(ctx, List.of(request.headers().get(MessageHeaders.MESSAGE_ID, "")), false);
            } else {
                receiveCall(ctx, readIds(ByteBufUtil.getBytes(request.content())), true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A call or probe that has been received. */
    private record PendingCall(int relay, long latencyMicros, List<String> ids, boolean isBatch) {}

    private static List<String> readIds(byte[] body) throws IOException {
        List<String> ids = new ArrayList<>();
        try (JsonParser json = JSON.createParser(body)) {
            while (json.nextToken() != null) {
                if (json.currentToken() == JsonToken.FIELD_NAME
                        && json.currentName().equals(HostProtocol.MESSAGE_ID_FIELD)) {
                    ids.add(json.nextTextValue());
                }
            }
        }
        return ids;
    }

    private void receiveCall(ChannelHandlerContext ctx, List<String> ids, boolean isBatch) {
        MessageHistory first = context.message(ids.get(0));
        if (first == null) {
            respond(ctx, HttpResponseStatus.BAD_REQUEST, "", 0);
            return;
        }
        int relay = first.relay();
        long latencyMicros = context.scenario().oneWayLatencyMicros(relay, endpoint.endpoint(), layout);
        PendingCall call = new PendingCall(relay, latencyMicros, ids, isBatch);
        long sentAtMicros = context.nowMicros();
        context.loop().schedule(() -> process(ctx, call, sentAtMicros), latencyMicros, TimeUnit.MICROSECONDS);
    }

    private void process(ChannelHandlerContext ctx, PendingCall call, long sentAtMicros) {
        EmulatedEndpoint.CallResult result = endpoint.receiveCall(call.relay(), context.nowMicros());
        for (String id : call.ids()) {
            boolean executed = result.executed() && context.takesEffect(id, endpoint.endpoint());
            context.message(id)
                    .recordCall(new MessageHistory.Call(
                            call.relay(), number(), sentAtMicros, context.nowMicros(), executed, result.response()));
        }
        scheduleResponse(ctx, call, result);
    }

    private void scheduleResponse(ChannelHandlerContext ctx, PendingCall call, EmulatedEndpoint.CallResult result) {
        if (result.respondAtMicros() < 0) {
            ctx.channel().attr(UNANSWERED_RELAY).set(call.relay());
            return;
        }
        long delayMicros = result.respondAtMicros() + call.latencyMicros() - context.nowMicros();
        context.loop().schedule(() -> sendResponse(ctx, call, result), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void sendResponse(ChannelHandlerContext ctx, PendingCall call, EmulatedEndpoint.CallResult result) {
        switch (result.response()) {
            case DELIVERED -> {
                long sentAtMicros = context.nowMicros() - call.latencyMicros();
                call.ids().forEach(id -> context.message(id).recordDelivery(sentAtMicros));
                respond(ctx, HttpResponseStatus.OK, call.isBatch() ? batchBody(call.ids()) : "", 0);
            }
            case ERROR -> respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", 0);
            case REJECTED -> reject(ctx, call.relay(), endpoint.retryAfterMicros(result));
            case CONNECT_FAILED -> stopListening();
            case NO_RESPONSE -> ctx.close();
        }
    }

    private static String batchBody(List<String> ids) {
        return ids.stream()
                .map(id -> "{\"" + HostProtocol.MESSAGE_ID_FIELD + "\":\"" + id + "\",\"" + HostProtocol.STATE_FIELD
                        + "\":\"" + HostProtocol.STATE_DELIVERED + "\"}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private void reject(ChannelHandlerContext ctx, int relay, long retryAfterMicros) {
        if (retryAfterMicros > 0) {
            context.recordRetryAfter(relay, number(), retryAfterMicros);
            respond(ctx, HttpResponseStatus.TOO_MANY_REQUESTS, "", retryAfterMicros);
        } else {
            respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", 0);
        }
    }

    private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body, long retryAfterMicros) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        if (retryAfterMicros > 0) {
            response.headers().set(MessageHeaders.RETRY_AFTER_MILLIS, TimeUnit.MICROSECONDS.toMillis(retryAfterMicros));
        }
        if (endpoint.group().reportsLimit()) {
            response.headers().set(MessageHeaders.LOAD_REPORT, limitReport());
        }
        ctx.writeAndFlush(response);
    }

    private String limitReport() {
        return String.format(
                Locale.ROOT,
                HostProtocol.REMAINING_SHARE_FIELD + "=%.3f, " + HostProtocol.LIMIT_PER_SECOND_FIELD + "=%.3f",
                endpoint.limit().remainingShare(),
                endpoint.limit().ratePerSecond());
    }
}
