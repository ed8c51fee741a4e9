package loftflow.upstream.amqp;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;

/**
 * Publishes attempts to brokers, one connection to each route, and tells what their confirms prove. A connection is
 * made
 * when something is to be sent and none is there, never by itself: pauses and trials are the decision module's.
 */
public final class BrokerClient implements UpstreamClient {
    private final EventLoop loop;
    private final Clock clock;
    private final ResultListener results;
    private final long connectTimeout;
    private final Map<String, BrokerDestination> brokers;
    private final Map<String, BrokerConnection> routes = new HashMap<>();
    private final Map<Message.Attempt, BrokerConnection> attempts = new HashMap<>();

    /**
     * A client.
     *
     * @param brokers how each of its routes is reached, by the route's name
     * @param connectTimeout microseconds until a connection is open in AMQP's sense
     */
    public BrokerClient(
            EventLoop loop,
            Clock clock,
            long connectTimeout,
            Map<String, BrokerDestination> brokers,
            ResultListener results) {
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
    public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {
        Set<String> named = new HashSet<>();
        for (Endpoint target : targets) {
            String name = target.entry().route();
            named.add(name);
            boolean listed = target.entry().availability() == Availability.LISTED;
            BrokerConnection old = routes.get(name);
            if (old != null && (!listed || !old.isAt(target))) {
                old.stop();
                routes.remove(name);
            }
            if (listed) {
                routes.computeIfAbsent(name, n -> new BrokerConnection(n, target, brokers.get(n), new Owner()));
            }
        }
        if (kind != EndpointListKind.DELTA) {
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
    public void send(String route, List<OutboundAttempt> outgoing) {
        BrokerConnection to = routes.get(route);
        for (OutboundAttempt one : outgoing) {
            if (to == null) {
                results.onAttemptCompleted(one.attempt(), AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE);
            } else {
                attempts.put(one.attempt(), to);
                to.send(one);
            }
        }
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        BrokerConnection route = attempts.get(attempt);
        if (route != null) {
            route.giveUp(attempt, AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void probe(String route) {
        BrokerConnection to = routes.get(route);
        if (to == null) {
            results.onProbeCompleted(route, AttemptOutcome.NOT_SENT, 0, 0, LimitReport.NONE);
        } else {
            to.probe();
        }
    }

    @Override
    public void closeIdleConnections(String route) {
        BrokerConnection to = routes.get(route);
        if (to != null) {
            to.closeIdle();
        }
    }

    /** What routes need of their client. */
    private final class Owner implements BrokerConnection.Owner {
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
        public void ended(Message.Attempt attempt, AttemptOutcome result, long wait) {
            attempts.remove(attempt);
            results.onAttemptCompleted(attempt, result, result == AttemptOutcome.OK, wait, LimitReport.NONE);
        }

        @Override
        public void late(Message.Attempt attempt) {
            results.onLateDelivery(attempt);
        }

        @Override
        public void probed(String route, AttemptOutcome result, long wait, long elapsed) {
            results.onProbeCompleted(route, result, wait, elapsed, LimitReport.NONE);
        }
    }
}
