package loftflow.server;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loftflow.config.Config;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.http2.Http2Listener;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.listener.request.MessageRequest;
import loftflow.log.Log;
import loftflow.policy.api.RequestClass;

/** All that is spoken of HTTP/2. Not loaded where there is none of it. */
final class Http2Module {
    /** What every connection is offered, however little the relay can bear. */
    private static final int FLOOR = 2;

    private final EventLoop loop;
    private final Config config;
    private final List<Http2Listener> servers = new ArrayList<>();

    /** Fronts that may hold so many connections each. */
    Http2Module(
            EventLoop loop, Clock clock, EventLoopLag pulse, MessageAcceptor intake, Config config, int connections) {
        this.loop = loop;
        this.config = config;
        double worth = config.settings().classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .sum();
        Map<String, Double> shares = config.settings().classes().stream()
                .collect(Collectors.toMap(RequestClass::name, c -> worth > 0 ? c.priorityWeight() / worth : 0));
        for (Config.Http2Front f : config.http2().fronts()) {
            servers.add(new Http2Listener(
                    intake,
                    clock,
                    pulse,
                    new Http2Listener.Options(
                            connections,
                            new ConcurrentStreamLimit.Bounds(
                                    Math.min(FLOOR, f.streams()),
                                    f.streams(),
                                    config.http2().streams()),
                            f.headerList(),
                            f.window(),
                            config.http2().buffer(),
                            shares,
                            f.resets(),
                            new ConnectionExpiry.Spans(MessageRequest.READ_MS * 1000, f.idle(), f.age(), f.stall()),
                            f.drain())));
        }
    }

    List<Listener> fronts() {
        return List.copyOf(servers);
    }

    /** Listens. */
    void start() throws InterruptedException {
        for (int i = 0; i < servers.size(); i++) {
            Log.line("serving HTTP/2 on "
                    + servers.get(i)
                            .listen(loop, config.http2().fronts().get(i).listen())
                            .sync()
                            .channel()
                            .localAddress());
        }
    }
}
