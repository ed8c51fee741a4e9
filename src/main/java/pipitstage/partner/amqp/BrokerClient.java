package pipitstage.partner.amqp;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pipitstage.Policy;
import pipitstage.Policy.LimitReport;
import pipitstage.Policy.ListKind;
import pipitstage.Policy.Result;
import pipitstage.engine.Clock;
import pipitstage.engine.Message;
import pipitstage.engine.Partners;
import pipitstage.engine.Target;

/**
 * Publishes attempts to brokers, one connection to each route, and tells what their confirms prove. A connection is made
 * when something is to be sent and none is there, never by itself: pauses and trials are the decision module's.
 */
public final class BrokerClient implements Partners {
    private final EventLoop loop;
    private final Clock clock;
    private final Results results;
    private final long connectTimeout;
    private final Map<String, Broker> brokers;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<Message.Attempt, Route> attempts = new HashMap<>();

    /**
     * A client.
     *
     * @param brokers how each of its routes is reached, by the route's name
     * @param connectTimeout microseconds until a connection is open in AMQP's sense
     */
    public BrokerClient(
            EventLoop loop, Clock clock, long connectTimeout, Map<String, Broker> brokers, Results results) {
        this.loop = loop;
        this.clock = clock;
        this.connectTimeout = connectTimeout;
        this.brokers = brokers;
        this.results = results;
    }

    /** True where a route is one of this client's. */
    public boolean has(String route) {
        return brokers.containsKey(route);
    }

    @Override
    public void list(ListKind kind, List<Target> targets) {
        Set<String> named = new HashSet<>();
        for (Target target : targets) {
            String name = target.listed().route();
            named.add(name);
            boolean listed = target.listed().availability() == Policy.Availability.LISTED;
            Route old = routes.get(name);
            if (old != null && (!listed || !old.isAt(target))) {
                old.stop();
                routes.remove(name);
            }
            if (listed) {
                routes.computeIfAbsent(name, n -> new Route(n, target, brokers.get(n), new Owner()));
            }
        }
        if (kind != ListKind.CHANGES) {
            routes.values().stream()
                    .filter(r -> !named.contains(r.name()))
                    .toList()
                    .forEach(gone -> {
                        gone.stop();
                        routes.remove(gone.name());
                    });
        }
    }

    @Override
    public void send(String route, List<Outgoing> outgoing) {
        Route to = routes.get(route);
        for (Outgoing one : outgoing) {
            if (to == null) {
                results.ended(one.attempt(), Result.NOT_SENT, false, 0, LimitReport.NONE);
            } else {
                attempts.put(one.attempt(), to);
                to.send(one);
            }
        }
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        Route route = attempts.get(attempt);
        if (route != null) {
            route.giveUp(attempt, Result.CANCELLED);
        }
    }

    @Override
    public void probe(String route) {
        Route to = routes.get(route);
        if (to == null) {
            results.probed(route, Result.NOT_SENT, 0, 0, LimitReport.NONE);
        } else {
            to.probe();
        }
    }

    @Override
    public void closeIdle(String route) {
        Route to = routes.get(route);
        if (to != null) {
            to.closeIdle();
        }
    }

    /** What routes need of their client. */
    private final class Owner implements Route.Owner {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public long now() {
            return clock.micros();
        }

        @Override
        public long connectTimeout() {
            return connectTimeout;
        }

        @Override
        public void ended(Message.Attempt attempt, Result result, long wait) {
            attempts.remove(attempt);
            results.ended(attempt, result, result == Result.OK, wait, LimitReport.NONE);
        }

        @Override
        public void late(Message.Attempt attempt) {
            results.late(attempt);
        }

        @Override
        public void probed(String route, Result result, long wait, long elapsed) {
            results.probed(route, result, wait, elapsed, LimitReport.NONE);
        }
    }
}
