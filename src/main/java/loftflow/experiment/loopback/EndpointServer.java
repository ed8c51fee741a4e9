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
import loftflow.http.Headers;

/**
 * An endpoint on a loopback port (PROTOCOL, Relays to hosts): what it answers, and when, is the emulator's word; this
 * class
 * carries it to a socket.
 */
final class EndpointServer {
    private static final JsonFactory JSON = new JsonFactory();
    /** Whose call on a connection has no answer to come. */
    private static final AttributeKey<Integer> SILENT_FOR = AttributeKey.valueOf("lab.silent-for");

    private final RunContext world;
    private final EmulatedEndpoint model;
    private final Scenario.Layout layout;
    private final Set<Channel> open = new HashSet<>();
    private Channel listener;
    private int port;

    EndpointServer(RunContext world, EmulatedEndpoint model, Scenario.Layout layout) {
        this.world = world;
        this.model = model;
        this.layout = layout;
        port = ((InetSocketAddress) up().syncUninterruptibly().channel().localAddress()).getPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Takes connections, at the same port as ever. */
    ChannelFuture up() {
        if (listener != null && listener.isOpen()) {
            return listener.newSucceededFuture();
        }
        ChannelFuture bound = LoopbackHttp.listen(world.loop(), port, Calls::new);
        listener = bound.channel();
        return bound;
    }

    /** Refuses connections, and ends those there are. */
    void down() {
        listener.close();
        List.copyOf(open).forEach(Channel::close);
    }

    /** Takes calls; a relay sends one at a time on a connection. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            world.history()
                    .costs()
                    .count(
                            CallCounts.Of.CONNECTIONS,
                            CallCounts.NONE,
                            model.endpoint().number());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
            Integer relay = ctx.channel().attr(SILENT_FOR).getAndSet(null);
            if (relay != null) {
                model.givenUpBy(relay);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            String path = request.uri();
            if (path.startsWith("/-/")) {
                answer(ctx, model.check(CallCounts.NONE, world.now()), CallCounts.NONE, 0, List.of(), false);
            } else if (path.equals("/receive")) {
                call(ctx, List.of(request.headers().get(Headers.CALL_ID, "")), false);
            } else {
                call(ctx, ids(ByteBufUtil.getBytes(request.content())), true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static List<String> ids(byte[] body) throws IOException {
        List<String> ids = new ArrayList<>();
        try (JsonParser json = JSON.createParser(body)) {
            while (json.nextToken() != null) {
                if (json.currentToken() == JsonToken.FIELD_NAME
                        && json.currentName().equals("id")) {
                    ids.add(json.nextTextValue());
                }
            }
        }
        return ids;
    }

    private void call(ChannelHandlerContext ctx, List<String> ids, boolean several) {
        MessageHistory first = world.ask(ids.get(0));
        if (first == null) {
            respond(ctx, HttpResponseStatus.BAD_REQUEST, "", 0);
            return;
        }
        int relay = first.relay();
        long way = world.scenario().way(relay, model.endpoint(), layout);
        long sent = world.now();
        world.loop()
                .schedule(
                        () -> {
                            EmulatedEndpoint.Met met = model.meet(relay, world.now());
                            for (String id : ids) {
                                boolean ran = met.ran() && world.takesEffect(id, model.endpoint());
                                world.ask(id)
                                        .posted(new MessageHistory.Posting(
                                                relay,
                                                model.endpoint().number(),
                                                sent,
                                                world.now(),
                                                ran,
                                                met.answer()));
                            }
                            answer(ctx, met, relay, way, ids, several);
                        },
                        way,
                        TimeUnit.MICROSECONDS);
    }

    private void answer(
            ChannelHandlerContext ctx,
            EmulatedEndpoint.Met met,
            int relay,
            long way,
            List<String> ids,
            boolean several) {
        if (met.answerAt() < 0) {
            ctx.channel().attr(SILENT_FOR).set(relay);
            return;
        }
        long wait = model.toldWait(met);
        world.loop()
                .schedule(
                        () -> {
                            switch (met.answer()) {
                                case DONE -> {
                                    ids.forEach(id -> world.ask(id).answeredDone(world.now() - way));
                                    respond(
                                            ctx,
                                            HttpResponseStatus.OK,
                                            several
                                                    ? ids.stream()
                                                            .map(id -> "{\"id\":\"" + id + "\",\"state\":\"done\"}")
                                                            .collect(Collectors.joining(",", "[", "]"))
                                                    : "",
                                            0);
                                }
                                case FAULT -> respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", 0);
                                case FULL -> {
                                    if (wait > 0) {
                                        world.waits(relay, model.endpoint().number(), wait);
                                    }
                                    respond(
                                            ctx,
                                            wait > 0
                                                    ? HttpResponseStatus.TOO_MANY_REQUESTS
                                                    : HttpResponseStatus.SERVICE_UNAVAILABLE,
                                            "",
                                            wait);
                                }
                                case UNREACHED -> down();
                                case NONE -> ctx.close();
                            }
                        },
                        met.answerAt() + way - world.now(),
                        TimeUnit.MICROSECONDS);
    }

    private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body, long wait) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        if (wait > 0) {
            response.headers().set(Headers.COME_BACK, wait / 1_000);
        }
        if (model.group().told()) {
            response.headers()
                    .set(
                            Headers.LOAD_REPORT,
                            String.format(
                                    Locale.ROOT,
                                    "x0=%.3f, x1=%.3f",
                                    model.limit().left(),
                                    model.limit().rate()));
        }
        ctx.writeAndFlush(response);
    }
}
