package loftflow.policy;

import loftflow.policy.api.PolicyActions;

/** Hands of a module that does what no test of it looks at: nothing comes of it. */
abstract class NoOpPolicyActions implements PolicyActions {
    @Override
    public void closeIdleConnections(String route) {}

    @Override
    public void sendToPeer(int relay, byte[] bytes) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String text) {}
}
