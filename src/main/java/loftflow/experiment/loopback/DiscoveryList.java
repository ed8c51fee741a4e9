package loftflow.experiment.loopback;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loftflow.experiment.scenario.Scenario;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.protocol.DiscoveryProtocol;

/** The endpoint list of a run, as the fake discovery agent publishes it. Thread-safe. */
final class DiscoveryList implements AutoCloseable {
    private final FakeDiscoveryAgent agent = new FakeDiscoveryAgent();
    private final Scenario.Layout layout;
    private final List<EndpointServer> endpoints;
    private final List<String> states = new ArrayList<>();

    /**
     * Creates a list that is not published yet.
     *
     * @param endpoints the servers of the layout's endpoints, by number; may still be empty
     */
    DiscoveryList(Scenario.Layout layout, List<EndpointServer> endpoints) throws IOException {
        this.layout = layout;
        this.endpoints = endpoints;
        layout.endpoints().forEach(endpoint -> states.add(DiscoveryProtocol.STATE_LISTED));
    }

    String agentAddress() {
        return agent.address();
    }

    synchronized void publish() {
        List<String> entries = new ArrayList<>();
        for (Scenario.Endpoint endpoint : layout.endpoints()) {
            entries.add(FakeDiscoveryAgent.entry(
                    endpoint.route(),
                    endpoint.partner(),
                    layout.partners().get(endpoint.partner()).group().kind(),
                    endpoint.zone(),
                    states.get(endpoint.number()),
                    endpoints.get(endpoint.number()).address()));
        }
        agent.list(entries);
    }

    synchronized void publish(int endpoint, String state) {
        states.set(endpoint, state);
        publish();
    }

    void stopAgent() throws IOException {
        agent.stop();
    }

    void restartAgent() throws IOException {
        agent.restart();
    }

    @Override
    public void close() throws IOException {
        agent.close();
    }
}
