package loftflow.upstream.amqp;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;

/**
 * Publishes attempts to brokers, over one connection for each route, and reports what their confirms prove. A
 * connection is opened when something is to be sent and there is none; back-off and probes are the delivery policy's
 * decisions. For use on the event loop only.
 */
public final class BrokerClient implements UpstreamClient {
    private final EventLoop loop;
    private final Clock clock;
    private final ResultListener results;
    private final long connectTimeoutMicros;
    private final Map<String, BrokerDestination> destinations;
    private final Map<String, BrokerConnection> connections = new HashMap<>();
    /** Connections to routes that are not listed any more, which may await confirms. */
    private final Set<BrokerConnection> stopped = new HashSet<>();
    /** The connection of every attempt that has no outcome yet. */
    private final Map<Message.Attempt, BrokerConnection> openAttempts = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param connectTimeoutMicros the time for a connection to complete its AMQP handshake
     * @param destinations how each route of this client is reached, by the route's name
     */
    public BrokerClient(
            EventLoop loop,
            Clock clock,
            long connectTimeoutMicros,
            Map<String, BrokerDestination> destinations,
            ResultListener results) {
        this.loop = loop;
        this.clock = clock;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.destinations = destinations;
        this.results = results;
    }

    /** Returns true where a route is reached through a broker. */
    public boolean hasRoute(String route) {
        return destinations.containsKey(route);
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        Set<String> listedRoutes = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            listedRoutes.add(endpoint.entry().route());
            update(endpoint);
        }
        if (kind != EndpointListKind.DELTA) {
            connections.values().stream()
                    .filter(connection -> !listedRoutes.contains(connection.route()))
                    .toList()
                    .forEach(this::remove);
        }
    }

    private void update(Endpoint endpoint) {
        String route = endpoint.entry().route();
        boolean isListed = endpoint.entry().availability() == Availability.LISTED;
        BrokerConnection previous = connections.get(route);
        if (previous != null && (!isListed || !previous.isAt(endpoint))) {
            remove(previous);
        }
        if (isListed) {
            connections.computeIfAbsent(
                    route, absent -> new BrokerConnection(route, endpoint, destinations.get(route), new Owner()));
        }
    }

    private void remove(BrokerConnection connection) {
        connection.stop();
        connections.remove(connection.route());
        stopped.removeIf(BrokerConnection::isClosed);
        stopped.add(connection);
    }

    @Override
    public void send(String route, List<OutboundAttempt> outgoing) {
        BrokerConnection connection = connections.get(route);
        for (OutboundAttempt outbound : outgoing) {
            if (connection == null) {
                results.onAttemptCompleted(outbound.attempt(), AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE);
            } else {
                openAttempts.put(outbound.attempt(), connection);
                connection.send(outbound);
            }
        }
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        BrokerConnection connection = openAttempts.get(attempt);
        if (connection != null) {
            connection.abandon(attempt, AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void endCalls(String messageId) {
        allConnections().toList().forEach(connection -> connection.endPublishes(messageId));
    }

    @Override
    public boolean isOutstanding(String messageId) {
        return allConnections().anyMatch(connection -> connection.awaitsConfirm(messageId));
    }

    private Stream<BrokerConnection> allConnections() {
        return Stream.concat(connections.values().stream(), stopped.stream());
    }

    @Override
    public void probe(String route) {
        BrokerConnection connection = connections.get(route);
        if (connection == null) {
            results.onProbeCompleted(route, AttemptOutcome.NOT_SENT, 0, 0, LimitReport.NONE);
        } else {
            connection.probe();
        }
    }

    @Override
    public void closeIdleConnections(String route) {
        BrokerConnection connection = connections.get(route);
        if (connection != null) {
            connection.closeIdle();
        }
    }

    /** The services and callbacks of connections. */
    private final class Owner implements BrokerConnection.Owner {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public long nowMicros() {
            return clock.micros();
        }

        @Override
        public long connectTimeoutMicros() {
            return connectTimeoutMicros;
        }

        @Override
        public void onAttemptCompleted(Message.Attempt attempt, AttemptOutcome outcome, long retryAfterMicros) {
            openAttempts.remove(attempt);
            boolean isMessageCompleted = outcome == AttemptOutcome.OK;
            results.onAttemptCompleted(attempt, outcome, isMessageCompleted, retryAfterMicros, LimitReport.NONE);
        }

        @Override
        public void onLateDelivery(Message.Attempt attempt) {
            results.onLateDelivery(attempt, true);
        }

        @Override
        public void onProbeCompleted(String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros) {
            results.onProbeCompleted(route, outcome, retryAfterMicros, elapsedMicros, LimitReport.NONE);
        }
    }
}
