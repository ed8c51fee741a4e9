package loftflow.engine;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;

/**
 * Drives the delivery policy: collects events into rounds and carries out the actions that the policy requests. The
 * engine holds the messages; the policy decides what happens to them. Listeners, upstream clients, journal and
 * discovery are reached through ports only.
 *
 * <p>All methods are to be called on the event loop.
 */
public final class DeliveryEngine implements MessageAcceptor, EndpointListListener, UpstreamClient.ResultListener {
    private final EngineContext context;
    private final DeliveryPolicy policy;
    private final RequestClassRegistry requestClasses;
    private final DestinationRegistry destinations = new DestinationRegistry();
    private final MessageTable messages = new MessageTable();
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private final MessageAdmission admission;
    private final AttemptDispatcher dispatcher;
    private final JournalRecovery recovery;
    private final DeliveryRound round;

    /**
     * An engine that has not started; {@link #attach} must be called before {@link #start}.
     *
     * @param roundPeriodMicros how long events are collected before the policy runs
     * @param policyFactory creates the policy for the settings
     */
    public DeliveryEngine(
            Timers timers,
            Clock clock,
            PolicySettings settings,
            long roundPeriodMicros,
            WriteAheadLog journal,
            Function<PolicySettings, DeliveryPolicy> policyFactory) {
        context = new EngineContext(timers, clock, settings, journal);
        policy = policyFactory.apply(settings);
        requestClasses = new RequestClassRegistry(settings);
        events = new PolicyEventQueue(timers, roundPeriodMicros, this::runRound);
        lifecycle = new MessageLifecycle(context, requestClasses, messages, events);
        admission = new MessageAdmission(context, messages, destinations, events, lifecycle);
        dispatcher = new AttemptDispatcher(context, messages, events, lifecycle);
        recovery = new JournalRecovery(context, requestClasses, messages, events, lifecycle);
        round = new DeliveryRound(
                context,
                events,
                admission,
                dispatcher,
                policy,
                new PolicyActionExecutor(context, messages, events, lifecycle, dispatcher));
    }

    private void runRound() {
        round.run();
    }

    /** Sets the ports to upstreams and for completions; once, before {@link #start}. */
    public void attach(UpstreamClient upstreamClient, CompletionNotifier completionNotifier) {
        context.setUpstreamClient(upstreamClient);
        context.setCompletionNotifier(completionNotifier);
    }

    /** Sets the store for undeliverable messages, {@link DeadLetterSink#NONE} by default; once, before start. */
    public void setDeadLetterSink(DeadLetterSink deadLetterSink) {
        context.setDeadLetterSink(deadLetterSink);
    }

    /** Sets who sees every event that the policy will receive; once, before {@link #start}. */
    public void setEventObserver(Consumer<PolicyEvent> observer) {
        events.setObserver(observer);
    }

    /** Sets the receiver of log lines in place of the operators' log; once, before {@link #start}. */
    public void setLogger(Consumer<String> logger) {
        context.setLogger(logger);
    }

    /**
     * Treats the idempotency-key windows of all attempts of the previous process as expired, for when the clocks can't
     * show how long ago it ended; before {@link #start}.
     */
    public void treatKeyWindowsAsExpired() {
        recovery.treatKeyWindowsAsExpired();
    }

    /** Passes to the policy what is known of routes from before a restart; after a list that names them. */
    public void restoreRoutes(List<RouteRestored> routes) {
        routes.forEach(events::add);
    }

    /** The state of each listed route that is to outlast a restart. */
    public List<RouteSnapshot> routeSnapshots() {
        return policy.routeSnapshots(context.nowMicros());
    }

    /** As the other {@code start}, with no restored routes. */
    public void start(EndpointListKind kind, long knownVersion, List<Endpoint> knownEndpoints) {
        start(kind, knownVersion, knownEndpoints, List.of());
    }

    /**
     * Starts with the endpoints known so far and resumes the messages in the journal. The policy receives the restored
     * routes before any attempt goes to them.
     *
     * @param knownEndpoints empty where none are known
     * @param routes what is known of these endpoints' routes from before a restart
     */
    public void start(
            EndpointListKind kind, long knownVersion, List<Endpoint> knownEndpoints, List<RouteRestored> routes) {
        if (!knownEndpoints.isEmpty()) {
            onEndpointList(kind, knownVersion, knownEndpoints);
            restoreRoutes(routes);
        }
        recovery.run();
    }

    /** Makes the policy wait for discovery's list, for so long at the most, before it sends; after the start. */
    public void holdUntilEndpointList(long maxWaitMicros) {
        events.add(new EndpointListPending(maxWaitMicros));
    }

    /**
     * Starts no message and no attempt from now on, since an attempt that the end of the process cuts off may have
     * been executed, and a message that is not idempotent could then not be retried. Open messages stay in the journal.
     */
    public void quiesce() {
        context.quiesce();
    }

    public boolean isQuiescing() {
        return context.isQuiescing();
    }

    /** True where no message is left, not even one whose completion is unacknowledged. */
    public boolean isIdle() {
        return messages.isEmpty();
    }

    /** True where no attempt is in flight and no client waits for an answer. */
    public boolean hasNothingInFlight() {
        return !dispatcher.hasAttemptsInFlight() && !admission.hasUnansweredClients();
    }

    @Override
    public boolean isReady() {
        return destinations.isReady();
    }

    @Override
    public boolean recognizes(Message.Content content) {
        return requestClasses.isValid(content) && hasDestination(content.destination());
    }

    @Override
    public boolean hasDestination(int destination) {
        return destinations.mayContain(destination);
    }

    @Override
    public Message accept(Message.Content content, long unreadSinceMicros, Message.ClientReply clientReply) {
        return admission.accept(content, unreadSinceMicros, clientReply);
    }

    @Override
    public void withdraw(Message message) {
        admission.withdraw(message);
    }

    @Override
    public void clientDisconnected(Message message) {
        message.takeClientReply();
    }

    @Override
    public double utilization() {
        return (double) messages.openCount() / context.maxOpenMessages();
    }

    /**
     * Sends a dead letter again. It is journaled like any other message, with its past attempts, and the policy handles
     * it as one that was resumed after a restart.
     *
     * @param deadLetterId its entry in the dead-letter store, not 0
     * @param pastAttempts the attempts that may have been executed, in order
     * @return the message, or null where it can't be accepted now; nothing has changed then
     */
    public Message redrive(long deadLetterId, Message.Content content, List<PastAttempt> pastAttempts) {
        return admission.redrive(deadLetterId, content, pastAttempts);
    }

    /** Ends a redrive because an earlier attempt turned out to have taken effect. */
    public void cancelRedrive(Message message) {
        lifecycle.cancelRedrive(message);
    }

    /** The dead-letter sink has durably stored a dead letter or the result of a redrive. */
    public void onDeadLetterStored(Message message) {
        lifecycle.acknowledge(message);
    }

    /** The completion that was passed to {@link CompletionNotifier} has been acknowledged. */
    public void onCompletionAcknowledged(Message message) {
        lifecycle.acknowledge(message);
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean messageClosed,
            long retryAfterMicros,
            LimitReport limitReport) {
        dispatcher.onAttemptCompleted(attempt, outcome, messageClosed, retryAfterMicros, limitReport);
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt) {
        dispatcher.onLateDelivery(attempt);
    }

    @Override
    public void onRetryAfter(String route, long retryAfterMicros) {
        events.add(new RetryAfterReceived(route, retryAfterMicros));
    }

    @Override
    public void onProbeCompleted(
            String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport limitReport) {
        events.add(new ProbeCompleted(route, outcome, retryAfterMicros, elapsedMicros, limitReport));
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints) {
        destinations.addDestinationsOf(endpoints);
        context.upstreamClient().onEndpointList(kind, endpoints);
        context.deadLetterSink().onEndpointList(kind, version, endpoints);
        destinations.markListReceived(kind);
        events.add(new EndpointListReceived(
                kind, version, endpoints.stream().map(Endpoint::entry).toList()));
    }
}
