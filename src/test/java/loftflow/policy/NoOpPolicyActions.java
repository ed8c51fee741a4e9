package loftflow.policy;

import loftflow.policy.api.PolicyActions;

/** Actions without effect, for tests that look at none of them. */
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
