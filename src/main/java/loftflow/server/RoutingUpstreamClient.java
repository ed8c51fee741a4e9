package loftflow.server;

import java.util.ArrayList;
import java.util.List;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.EndpointListKind;
import loftflow.upstream.amqp.BrokerClient;

/** Delegates each call to the client for the protocol of its route: AMQP for brokers, HTTP for all others. */
final class RoutingUpstreamClient implements UpstreamClient {
    private final UpstreamClient httpClient;
    private final BrokerClient brokerClient;

    RoutingUpstreamClient(UpstreamClient httpClient, BrokerClient brokerClient) {
        this.httpClient = httpClient;
        this.brokerClient = brokerClient;
    }

    private UpstreamClient clientFor(String route) {
        return brokerClient.hasRoute(route) ? brokerClient : httpClient;
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> brokers = new ArrayList<>();
        List<Endpoint> httpEndpoints = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            boolean isBroker = brokerClient.hasRoute(endpoint.entry().route());
            (isBroker ? brokers : httpEndpoints).add(endpoint);
        }
        brokerClient.onEndpointList(kind, brokers);
        httpClient.onEndpointList(kind, httpEndpoints);
    }

    @Override
    public void send(String route, List<OutboundAttempt> attempts) {
        clientFor(route).send(route, attempts);
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        clientFor(attempt.route()).cancel(attempt);
    }

    @Override
    public void endCalls(String messageId) {
        httpClient.endCalls(messageId);
        brokerClient.endCalls(messageId);
    }

    @Override
    public boolean isOutstanding(String messageId) {
        return httpClient.isOutstanding(messageId) || brokerClient.isOutstanding(messageId);
    }

    @Override
    public void probe(String route) {
        clientFor(route).probe(route);
    }

    @Override
    public void closeIdleConnections(String route) {
        clientFor(route).closeIdleConnections(route);
    }

    @Override
    public void readPending() {
        httpClient.readPending();
        brokerClient.readPending();
    }
}
