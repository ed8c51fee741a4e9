package loftflow.config.plan;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.schema.Addresses;

/** Checks that listeners and endpoints do not use the same addresses. */
final class AddressChecks extends ConsistencyCheck {
    AddressChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        List<Declaration.Listener> fronts = declared.listeners();
        for (int i = 0; i < fronts.size(); i++) {
            checkListeners(fronts.get(i), fronts.subList(0, i));
            checkOwnCalls(fronts.get(i));
        }
        checkEndpointPorts();
    }

    private void checkListeners(Declaration.Listener front, List<Declaration.Listener> previous) {
        for (Declaration.Listener other : previous) {
            if (Addresses.collide(front.listen(), other.listen())) {
                error(
                        front.table(),
                        "listen",
                        front.listen() + " is taken by the front in line "
                                + other.table().at("listen").line() + ", " + other.listen() + "; give it another port");
            }
        }
    }

    private void checkOwnCalls(Declaration.Listener front) {
        String listen = front.listen();
        for (Declaration.Endpoint endpoint : declared.endpoints()) {
            if (Addresses.collide(listen, endpoint.address())) {
                error(
                        front.table(),
                        "listen",
                        listen + " is where endpoint " + endpoint.id()
                                + " takes calls: the relay would call itself; give one another port");
            }
        }
        if (declared.discovery().agentAddress() != null
                && Addresses.collide(listen, declared.discovery().agentAddress())) {
            error(front.table(), "listen", listen + " is discovery.agent's address; give it another port");
        }
    }

    private void checkEndpointPorts() {
        for (Declaration.Endpoint endpoint : declared.endpoints()) {
            if (endpoint.address().endsWith(":0")) {
                error(endpoint.table(), "address", endpoint.address() + " has port 0, where nobody can be called");
            }
        }
    }
}
