package loftflow.engine;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.memory.MemoryLimits;
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
 * Runs the delivery policy: collects events into rounds and carries out the actions that the policy requests. The
 * engine owns the messages; the policy decides on their attempts and completions. The engine reaches listeners,
 * upstream clients, the journal and discovery through ports only.
 *
 * <p>All methods are to be called on the event loop.
 */
public final class DeliveryEngine implements MessageAcceptor, EndpointListListener, UpstreamClient.ResultListener {
    private final EngineContext context;
    private final DeliveryPolicy policy;
    private final RequestClassRegistry requestClasses;
    private final DestinationRegistry destinations = new DestinationRegistry();
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private final MessageAdmission admission;
    private final AttemptDispatcher dispatcher;
    private final JournalRecovery recovery;
    private final DeliveryRound round;

    /** Creates an engine as below, with the memory limits of this process. */
    public DeliveryEngine(
            Timers timers,
            Clock clock,
            PolicySettings settings,
            long roundPeriodMicros,
            WriteAheadLog journal,
            Function<PolicySettings, DeliveryPolicy> policyFactory) {
        this(timers, clock, settings, roundPeriodMicros, journal, policyFactory, MemoryLimits.ofProcess());
    }

    /**
     * Creates an engine that has not started; {@link #attach} must be called before {@link #start}.
     *
     * @param roundPeriodMicros how long events are collected before the policy runs, in microseconds
     * @param policyFactory creates the policy for the settings
     * @param memoryLimits limits the messages that the engine holds
     */
    public DeliveryEngine(
            Timers timers,
            Clock clock,
            PolicySettings settings,
            long roundPeriodMicros,
            WriteAheadLog journal,
            Function<PolicySettings, DeliveryPolicy> policyFactory,
            MemoryLimits memoryLimits) {
        context = new EngineContext(timers, clock, settings, journal);
        policy = policyFactory.apply(settings);
        requestClasses = new RequestClassRegistry(settings);
        events = new PolicyEventQueue(timers, roundPeriodMicros, this::runRound);
        messages = new MessageTable(memoryLimits.messageBytes());
        EndedMessages endedMessages = new EndedMessages(memoryLimits.endedMessageBytes());
        lifecycle = new MessageLifecycle(context, requestClasses, messages, events, endedMessages);
        admission =
                new MessageAdmission(context, requestClasses, messages, destinations, events, lifecycle, endedMessages);
        dispatcher = new AttemptDispatcher(context, messages, events, lifecycle, admission, requestClasses);
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

    /** Sets the ports to the upstreams and for completion notices; to be called once, before {@link #start}. */
    public void attach(UpstreamClient upstreamClient, CompletionNotifier completionNotifier) {
        context.setUpstreamClient(upstreamClient);
        context.setCompletionNotifier(completionNotifier);
    }

    /** Sets the dead-letter store, by default {@link DeadLetterSink#NONE}; to be called at most once, before start. */
    public void setDeadLetterSink(DeadLetterSink deadLetterSink) {
        context.setDeadLetterSink(deadLetterSink);
    }

    /**
     * Sets an observer that receives every event added for the policy; to be called at most once, before
     * {@link #start}.
     */
    public void setEventObserver(Consumer<PolicyEvent> observer) {
        events.setObserver(observer);
    }

    /** Replaces the operators' log as the receiver of log lines; to be called at most once, before {@link #start}. */
    public void setLogger(Consumer<String> logger) {
        context.setLogger(logger);
    }

    /**
     * Treats the key windows of all attempts of the previous process as expired, for use if the clocks can't show how
     * long ago that process ended. To be called before {@link #start}.
     */
    public void treatKeyWindowsAsExpired() {
        recovery.treatKeyWindowsAsExpired();
    }

    /** Passes the state of routes from before a restart to the policy, after an endpoint list that names them. */
    public void restoreRoutes(List<RouteRestored> routes) {
        routes.forEach(events::add);
    }

    /** Returns the state of each listed route that is to be restored after a restart. */
    public List<RouteSnapshot> routeSnapshots() {
        return policy.routeSnapshots(context.nowMicros());
    }

    /** Starts as {@link #start(EndpointListKind, long, List, List)} does, with no restored routes. */
    public void start(EndpointListKind kind, long knownVersion, List<Endpoint> knownEndpoints) {
        start(kind, knownVersion, knownEndpoints, List.of());
    }

    /**
     * Starts with the endpoints known so far and resumes the messages in the journal. The policy receives the state of
     * the restored routes before any attempt is sent to them.
     *
     * @param knownEndpoints empty if none are known
     * @param routes the state from before a restart of the routes to these endpoints
     */
    public void start(
            EndpointListKind kind, long knownVersion, List<Endpoint> knownEndpoints, List<RouteRestored> routes) {
        if (!knownEndpoints.isEmpty()) {
            onEndpointList(kind, knownVersion, knownEndpoints);
            restoreRoutes(routes);
        }
        recovery.run();
    }

    /**
     * Makes the policy send nothing until discovery's endpoint list arrives or {@code maxWaitMicros} have passed. To be
     * called after the start.
     */
    public void holdUntilEndpointList(long maxWaitMicros) {
        events.add(new EndpointListPending(maxWaitMicros));
    }

    /**
     * Stops accepting messages and starting attempts. An attempt that is interrupted by the end of the process may have
     * been executed, so a message that is not idempotent could not be retried after it. Open messages stay in the
     * journal.
     */
    public void quiesce() {
        context.quiesce();
    }

    public boolean isQuiescing() {
        return context.isQuiescing();
    }

    /** Returns whether the engine holds no message, not even one whose completion is unacknowledged. */
    public boolean isIdle() {
        return messages.isEmpty();
    }

    /** Returns whether no attempt is in flight and no client waits for an answer. */
    public boolean hasNothingInFlight() {
        return !dispatcher.hasAttemptsInFlight() && !admission.hasUnansweredClients();
    }

    /** Applies the responses of upstreams that have arrived, so that the end of the process takes them into account. */
    public void readPendingResponses() {
        context.upstreamClient().readPending();
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
     * Redrives a dead letter. It is journaled like any other message, with its past attempts, and the policy handles it
     * like a message that was resumed after a restart.
     *
     * @param deadLetterId the number of its entry in the dead-letter store; not 0
     * @param pastAttempts the attempts that may have been executed, in order
     * @return the message, or null if it can't be accepted now, in which case nothing has changed
     */
    public Message redrive(long deadLetterId, Message.Content content, List<PastAttempt> pastAttempts) {
        return admission.redrive(deadLetterId, content, pastAttempts);
    }

    /** Ends a redrive because an earlier attempt proved to have been executed. */
    public void cancelRedrive(Message message) {
        lifecycle.cancelRedrive(message);
    }

    /** Called when the dead-letter sink has durably stored a dead letter or the result of a redrive. */
    public void onDeadLetterStored(Message message) {
        lifecycle.acknowledge(message);
    }

    /** Called when the notice of a completion, sent by {@link CompletionNotifier}, has been acknowledged. */
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
    public void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
        dispatcher.onLateDelivery(attempt, isCounted);
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        dispatcher.onOutcomeDisproved(attempt);
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
