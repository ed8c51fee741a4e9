package pipitstage.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import pipitstage.Policy;
import pipitstage.config.Config;
import pipitstage.engine.Clock;
import pipitstage.engine.Intake;
import pipitstage.engine.Pulse;
import pipitstage.front.Front;
import pipitstage.front.http2.Http2Server;
import pipitstage.front.http2.limits.Offer;
import pipitstage.front.http2.limits.Standing;
import pipitstage.front.request.Request;
import pipitstage.log.Log;

/** All that is spoken of HTTP/2. Not loaded where there is none of it. */
final class Http2 {
    /** What every connection is offered, however little the relay can bear. */
    private static final int FLOOR = 2;

    private final EventLoop loop;
    private final Config config;
    private final List<Http2Server> servers = new ArrayList<>();

    /** Fronts that may hold so many connections each. */
    Http2(EventLoop loop, Clock clock, Pulse pulse, Intake intake, Config config, int connections) {
        this.loop = loop;
        this.config = config;
        double worth = config.settings().classes().stream()
                .mapToDouble(Policy.RequestClass::worth)
                .sum();
        Map<String, Double> shares = config.settings().classes().stream()
                .collect(Collectors.toMap(Policy.RequestClass::name, c -> worth > 0 ? c.worth() / worth : 0));
        for (Config.Http2Front f : config.http2().fronts()) {
            servers.add(new Http2Server(
                    intake,
                    clock,
                    pulse,
                    new Http2Server.Options(
                            connections,
                            new Offer.Bounds(
                                    Math.min(FLOOR, f.streams()),
                                    f.streams(),
                                    config.http2().streams()),
                            f.headerList(),
                            f.window(),
                            config.http2().buffer(),
                            shares,
                            f.resets(),
                            new Standing.Spans(Request.READ_MS * 1000, f.idle(), f.age(), f.stall()),
                            f.drain())));
        }
    }

    List<Front> fronts() {
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
