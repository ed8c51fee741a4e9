package pipitstage.lab.real;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pipitstage.Policy;
import pipitstage.http.Headers;
import pipitstage.lab.history.Ask;
import pipitstage.lab.scenario.Arrival;
import pipitstage.lab.scenario.Scenario;

/** The programs before a fleet: each message on a connection that waits for nothing else, handed in again as scenarios say. */
final class Programs {
    private static final int LARGEST = 1 << 16;
    private static final byte[] BODY = "lab".getBytes(StandardCharsets.US_ASCII);
    private static final int ACCEPTED = 202;
    private static final int REFUSED = 503;

    /** Where a relay takes messages, and its idle connections. */
    private static final class Door {
        private final ArrayDeque<Channel> idle = new ArrayDeque<>();
        private InetSocketAddress address;
    }

    private final World world;
    private final List<Door> doors = new ArrayList<>();
    private int unsettled;

    Programs(World world) {
        this.world = world;
        for (int i = 0; i < world.scenario().fleet().relays(); i++) {
            doors.add(new Door());
        }
    }

    /** A relay takes messages at an address from now on; null while it takes none. */
    void at(int relay, InetSocketAddress address) {
        doors.get(relay).address = address;
    }

    /** A message is due. Its times count from then, however late it leaves. */
    void arrive(Arrival arrival) {
        Scenario.MessageClass type = world.scenario().classes().get(arrival.type());
        Ask ask = new Ask(arrival.type(), arrival.tenant(), arrival.partner(), arrival.relay(), arrival.at(), arrival.at()
                + type.deadline());
        world.history().asked(ask);
        handIn(world.history().asks().size() - 1, ask);
    }

    /** Messages of which something is still to come from their programs' side. */
    int unsettled() {
        return unsettled;
    }

    private void handIn(int number, Ask ask) {
        unsettled++;
        Scenario.MessageClass type = world.scenario().classes().get(ask.type());
        ask.tried(ask.tries() == 0 ? ask.at() : world.now());
        String id = number + "-" + ask.tries();
        world.named(id, number);
        Door door = doors.get(ask.relay());
        if (door.address == null) {
            refused(number, ask, 0);
            return;
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api",
                Unpooled.wrappedBuffer(BODY));
        request.headers().set(HttpHeaderNames.HOST, "relay").set(Headers.CALL_ID, id).set(Headers.CALL_CLASS, type.name())
                .set(Headers.BUDGET, type.deadline() / 1_000).set(Headers.CONSIGNEE, "dest=" + ask.partner())
                .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        if (ask.tenant() >= 0) {
            request.headers().set(Headers.CALLER, world.scenario().tenants().get(ask.tenant()).name());
        }
        if (type.repeat() == Policy.Repeat.BY_KEY) {
            request.headers().set(Headers.KEY, "k" + number);
        }
        Channel idle = door.idle.poll();
        if (idle != null) {
            idle.pipeline().get(Answers.class).send(request, number, ask);
            return;
        }
        new Bootstrap().group(world.loop()).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST), new Answers(door, ch));
                    }
                }).connect(door.address).addListener(connected -> {
                    if (connected.isSuccess()) {
                        ((ChannelFuture) connected).channel().pipeline().get(Answers.class).send(request, number,
                                ask);
                    } else {
                        request.release();
                        refused(number, ask, 0);
                    }
                });
    }

    private void refused(int number, Ask ask, long retryIn) {
        unsettled--;
        ask.ended(world.now(), Ask.Told.REFUSED);
        again(number, ask, Math.max(world.scenario().clients().pause(), retryIn));
    }

    private void again(int number, Ask ask, long pause) {
        if (ask.tries() <= world.scenario().clients().repeats()) {
            unsettled++;
            world.loop().schedule(() -> {
                unsettled--;
                handIn(number, ask);
            }, pause, TimeUnit.MICROSECONDS);
        }
    }

    /** An end is told by notice. */
    void told(String id, boolean refused, long retryIn) {
        Ask ask = world.ask(id);
        // A notice may be told once more, and one of an earlier try says nothing of the last.
        if (ask == null || !id.endsWith("-" + ask.tries()) || ask.told() == Ask.Told.REFUSED || ask.told() == Ask.Told.FAILED) {
            return;
        }
        ask.ended(world.now(), refused ? Ask.Told.REFUSED : Ask.Told.FAILED);
        if (refused) {
            again(Integer.parseInt(id.substring(0, id.indexOf('-'))), ask, Math.max(world.scenario().clients().pause(), retryIn));
        }
    }

    /** One connection, with at most one message on it. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Door door;
        private final Channel channel;
        private Ask ask;
        private int number;

        Answers(Door door, Channel channel) {
            this.door = door;
            this.channel = channel;
        }

        void send(FullHttpRequest request, int of, Ask message) {
            ask = message;
            number = of;
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Ask answered = ask;
            ask = null;
            if (HttpUtil.isKeepAlive(response)) {
                door.idle.addFirst(channel);
            } else {
                ctx.close();
            }
            if (answered == null) {
                return;
            }
            int status = response.status().code();
            if (status == ACCEPTED) {
                unsettled--;
                answered.taken();
            } else if (status == REFUSED) {
                String retry = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
                refused(number, answered, (long) (Double.parseDouble(retry) * 1e6));
            } else {
                unsettled--;
                answered.ended(world.now(), Ask.Told.FAILED);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            door.idle.remove(channel);
            if (ask != null) {
                Ask broken = ask;
                ask = null;
                unsettled--;
                broken.cut();
                if (world.scenario().classes().get(broken.type()).repeat() == Policy.Repeat.REPEATABLE) {
                    again(number, broken, world.scenario().clients().pause());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
