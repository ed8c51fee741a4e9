package loftflow.experiment.loopback;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.Scenario;
import loftflow.http.Headers;
import loftflow.policy.api.Idempotency;

/**
 * The programs before a fleet: each message on a connection that waits for nothing else, handed in again as scenarios
 * say.
 */
final class LoadGenerator {
    private static final byte[] BODY = "lab".getBytes(StandardCharsets.US_ASCII);
    private static final int ACCEPTED = 202;
    private static final int REFUSED = 503;

    private final RunContext world;
    /** Connections to each relay; null while it takes no messages. */
    private final LoopbackHttp.Pool[] relays;

    private int unsettled;

    LoadGenerator(RunContext world) {
        this.world = world;
        relays = new LoopbackHttp.Pool[world.scenario().fleet().relays()];
    }

    /** A relay takes messages at an address from now on; null while it takes none. */
    void at(int relay, InetSocketAddress address) {
        relays[relay] = address == null ? null : new LoopbackHttp.Pool(world.loop(), address);
    }

    /** A message is due. Its times count from then, however late it leaves. */
    void arrive(Arrival arrival) {
        Scenario.MessageClass type = world.scenario().classes().get(arrival.type());
        MessageHistory ask = new MessageHistory(
                arrival.type(),
                arrival.tenant(),
                arrival.partner(),
                arrival.relay(),
                arrival.at(),
                arrival.at() + type.deadline());
        world.history().asked(ask);
        handIn(world.history().asks().size() - 1, ask);
    }

    /** Messages of which something is still to come from their programs' side. */
    int unsettled() {
        return unsettled;
    }

    private void handIn(int number, MessageHistory ask) {
        unsettled++;
        Scenario.MessageClass type = world.scenario().classes().get(ask.type());
        ask.tried(ask.tries() == 0 ? ask.at() : world.now());
        String id = number + "-" + ask.tries();
        world.named(id, number);
        LoopbackHttp.Pool relay = relays[ask.relay()];
        if (relay == null) {
            refused(number, ask, 0);
            return;
        }
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api", Unpooled.wrappedBuffer(BODY));
        request.headers()
                .set(HttpHeaderNames.HOST, "relay")
                .set(Headers.CALL_ID, id)
                .set(Headers.CALL_CLASS, type.name())
                .set(Headers.BUDGET, type.deadline() / 1_000)
                .set(Headers.CONSIGNEE, "dest=" + ask.partner())
                .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        if (ask.tenant() >= 0) {
            request.headers()
                    .set(
                            Headers.CALLER,
                            world.scenario().tenants().get(ask.tenant()).name());
        }
        if (type.repeat() == Idempotency.IDEMPOTENT_BY_KEY) {
            request.headers().set(Headers.KEY, "k" + number);
        }
        relay.send(request, new Handing(number, ask));
    }

    private void refused(int number, MessageHistory ask, long retryIn) {
        unsettled--;
        ask.ended(world.now(), MessageHistory.Told.REFUSED);
        again(number, ask, Math.max(world.scenario().clients().pause(), retryIn));
    }

    private void again(int number, MessageHistory ask, long pause) {
        if (ask.tries() <= world.scenario().clients().repeats()) {
            unsettled++;
            world.loop()
                    .schedule(
                            () -> {
                                unsettled--;
                                handIn(number, ask);
                            },
                            pause,
                            TimeUnit.MICROSECONDS);
        }
    }

    /** An end is told by notice. */
    void told(String id, boolean refused, long retryIn) {
        MessageHistory ask = world.ask(id);
        // A notice may be told once more, and one of an earlier try says nothing of the last.
        if (ask == null
                || !id.endsWith("-" + ask.tries())
                || ask.told() == MessageHistory.Told.REFUSED
                || ask.told() == MessageHistory.Told.FAILED) {
            return;
        }
        ask.ended(world.now(), refused ? MessageHistory.Told.REFUSED : MessageHistory.Told.FAILED);
        if (refused) {
            again(
                    Integer.parseInt(id.substring(0, id.indexOf('-'))),
                    ask,
                    Math.max(world.scenario().clients().pause(), retryIn));
        }
    }

    /** One try of a message. */
    private final class Handing implements LoopbackHttp.Reply {
        private final int number;
        private final MessageHistory ask;

        Handing(int number, MessageHistory ask) {
            this.number = number;
            this.ask = ask;
        }

        @Override
        public void answered(FullHttpResponse response) {
            int status = response.status().code();
            if (status == ACCEPTED) {
                unsettled--;
                ask.taken();
            } else if (status == REFUSED) {
                String retry = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
                refused(number, ask, (long) (Double.parseDouble(retry) * 1e6));
            } else {
                unsettled--;
                ask.ended(world.now(), MessageHistory.Told.FAILED);
            }
        }

        @Override
        public void unreached() {
            refused(number, ask, 0);
        }

        @Override
        public void cut() {
            unsettled--;
            ask.cut();
            if (world.scenario().classes().get(ask.type()).repeat() == Idempotency.IDEMPOTENT) {
                again(number, ask, world.scenario().clients().pause());
            }
        }
    }
}
