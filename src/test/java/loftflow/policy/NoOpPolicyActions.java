package loftflow.policy;

import loftflow.policy.api.PolicyActions;

/** Policy actions without effect, for tests that do not check them. */
abstract class NoOpPolicyActions implements PolicyActions {
    @Override
    public void closeIdleConnections(String route) {}

    @Override
    public void sendToPeer(int relay, byte[] payload) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String text) {}
}
