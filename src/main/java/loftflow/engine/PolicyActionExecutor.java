package loftflow.engine;

import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.TimerFired;

/** Carries out the actions that the policy requests in a round. */
final class PolicyActionExecutor implements PolicyActions {
    private final EngineContext context;
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private final AttemptDispatcher dispatcher;

    PolicyActionExecutor(
            EngineContext context,
            MessageTable messages,
            PolicyEventQueue events,
            MessageLifecycle lifecycle,
            AttemptDispatcher dispatcher) {
        this.context = context;
        this.messages = messages;
        this.events = events;
        this.lifecycle = lifecycle;
        this.dispatcher = dispatcher;
    }

    @Override
    public void send(
            long messageNumber, String route, long timeoutMicros, long sendWithinMicros, boolean mayShareCall) {
        dispatcher.start(messageNumber, route, timeoutMicros, sendWithinMicros, mayShareCall);
    }

    @Override
    public void cancel(long messageNumber, int attemptNumber) {
        dispatcher.cancel(messageNumber, attemptNumber);
    }

    @Override
    public void reject(long messageNumber, long retryAfterMicros) {
        lifecycle.reject(messageNumber, retryAfterMicros);
    }

    @Override
    public void fail(long messageNumber) {
        lifecycle.fail(messageNumber);
    }

    @Override
    public void setTimer(long timerId, long delayMicros) {
        context.timers().schedule(delayMicros, () -> events.add(new TimerFired(timerId)));
    }

    @Override
    public void probe(String route) {
        context.upstreamClient().probe(route);
    }

    @Override
    public boolean isCompletionAcknowledged(long messageNumber) {
        Message message = messages.find(messageNumber);
        return message == null || message.completion() == null || message.isDone();
    }

    @Override
    public void closeIdleConnections(String route) {
        context.upstreamClient().closeIdleConnections(route);
    }

    /** Does nothing: relays that serve clients have no connection to each other. */
    @Override
    public void sendToPeer(int relay, byte[] bytes) {}

    /** Does nothing: the discovery watch is always on. */
    @Override
    public void subscribe(boolean on) {}

    /** Does nothing: the discovery watch is always on. */
    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {
        context.log(line);
    }
}
