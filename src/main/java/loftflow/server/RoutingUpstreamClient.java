package loftflow.server;

import java.util.ArrayList;
import java.util.List;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.EndpointListKind;
import loftflow.upstream.amqp.BrokerClient;

/** Partners of both kinds: each route goes to the client that speaks its protocol. */
final class RoutingUpstreamClient implements UpstreamClient {
    private final UpstreamClient http;
    private final BrokerClient amqp;

    RoutingUpstreamClient(UpstreamClient http, BrokerClient amqp) {
        this.http = http;
        this.amqp = amqp;
    }

    private UpstreamClient of(String route) {
        return amqp.has(route) ? amqp : http;
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {
        List<Endpoint> brokers = new ArrayList<>();
        List<Endpoint> hosts = new ArrayList<>();
        targets.forEach(target -> (amqp.has(target.entry().route()) ? brokers : hosts).add(target));
        amqp.onEndpointList(kind, brokers);
        http.onEndpointList(kind, hosts);
    }

    @Override
    public void send(String route, List<OutboundAttempt> outgoing) {
        of(route).send(route, outgoing);
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        of(attempt.route()).cancel(attempt);
    }

    @Override
    public void probe(String route) {
        of(route).probe(route);
    }

    @Override
    public void closeIdleConnections(String route) {
        of(route).closeIdleConnections(route);
    }
}
