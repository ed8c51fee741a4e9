package loftflow.policy;

import java.util.List;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.AttemptOutcomeDisproved;
import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.PeerMessage;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TimerFired;

/**
 * The delivery policy of a relay. In each round it applies the events in order of arrival, ends expired messages, sends
 * what may be sent, and sets the timer for the next round. The other classes of this package make the decisions, one
 * rule per class; docs/design.md explains the mechanism. Not thread-safe.
 */
public final class DefaultDeliveryPolicy implements DeliveryPolicy {
    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final KeyOrder keyOrder;
    private final PendingMessages messages;
    private final MessageCompleter completer;
    private final LoadShedder loadShedder;
    private final OutcomeProcessor outcomes;
    private final SendPermits permits;
    private final SendPermitCoordinator coordinator;
    private final PeerChannel peers;
    private final WarmStart warmStart;
    private final DiscoverySubscription subscription;
    private final Dispatcher dispatcher;
    private final WakeUpTimer wakeUpTimer;

    /** Creates a policy without knowledge of any route; the seed in the settings determines every random choice. */
    public DefaultDeliveryPolicy(PolicySettings settings) {
        context = new RoundContext(settings);
        ResponseTimes responseTimes = new ResponseTimes(context);
        RouteScorer scorer = new RouteScorer(context, responseTimes);
        endpoints = new EndpointRegistry(context, scorer);
        keyOrder = new KeyOrder(context);
        messages = new PendingMessages(context, endpoints, keyOrder);
        KnownLimits limits = new KnownLimits(context);
        RecoveryRamp ramp = new RecoveryRamp(context, limits);
        OutlierDetector outliers = new OutlierDetector(context, responseTimes);
        CircuitBreaker circuitBreaker = new CircuitBreaker(context, ramp, outliers);
        SendRateLimiter rateLimiter = new SendRateLimiter(context, limits, ramp);
        peers = new PeerChannel(context, this::onPeerMessage);
        permits = new SendPermits(context, peers);
        coordinator = new SendPermitCoordinator(context, peers, limits, ramp, rateLimiter, permits);
        ConcurrencyLimiter concurrency = new ConcurrencyLimiter(context, outliers);
        RouteAvailability availability = new RouteAvailability(context, rateLimiter, outliers, permits, concurrency);
        RetryPolicy retryPolicy = new RetryPolicy(context);
        MessageValue values = new MessageValue(context, responseTimes);
        completer = new MessageCompleter(context, messages, retryPolicy, availability);
        loadShedder = new LoadShedder(context, messages, values, retryPolicy, completer);
        AttemptTimeouts timeouts = new AttemptTimeouts(context, responseTimes);
        CallEvaluator evaluator =
                new CallEvaluator(context, responseTimes, limits, ramp, circuitBreaker, rateLimiter, permits);
        outcomes = new OutcomeProcessor(
                context, endpoints, messages, keyOrder, concurrency, timeouts, evaluator, completer);
        CallSender sender =
                new CallSender(context, messages, keyOrder, retryPolicy, timeouts, rateLimiter, permits, concurrency);
        HalfOpenProbe probes =
                new HalfOpenProbe(context, circuitBreaker, concurrency, keyOrder, retryPolicy, timeouts, sender);
        RouteSelector selector = new RouteSelector(context, responseTimes, scorer, retryPolicy);
        dispatcher = new Dispatcher(
                context,
                endpoints,
                messages,
                keyOrder,
                values,
                responseTimes,
                retryPolicy,
                circuitBreaker,
                availability,
                selector,
                concurrency,
                permits,
                coordinator,
                probes,
                sender);
        warmStart = new WarmStart(context, endpoints, limits, circuitBreaker);
        subscription = new DiscoverySubscription(context);
        wakeUpTimer = new WakeUpTimer(context, endpoints, messages, availability, concurrency, coordinator);
    }

    @Override
    public void onRound(long now, List<PolicyEvent> events, PolicyActions actions) {
        context.startRound(now, actions);
        subscription.ensureSubscribed();
        for (PolicyEvent event : events) {
            apply(event);
        }
        completer.endExpired();
        if (!events.stream().allMatch(DefaultDeliveryPolicy::isCongestionNotice)) {
            dispatcher.dispatch();
            wakeUpTimer.arm();
        }
    }

    /**
     * Returns whether the event is a congestion notice. A notice allows no new sending and reaches every relay of a
     * fleet, so a round with notices alone skips the dispatch.
     */
    private static boolean isCongestionNotice(PolicyEvent event) {
        return event instanceof PeerMessage message && PeerChannel.typeOf(message) == PeerMessageType.CONGESTION_NOTICE;
    }

    private void apply(PolicyEvent event) {
        if (event instanceof MessageAccepted accepted) {
            messages.add(accepted);
            loadShedder.shedIfFull();
        } else if (event instanceof MessageResumed resumed) {
            resume(resumed);
        } else if (event instanceof AttemptCompleted completed) {
            outcomes.onAttemptCompleted(completed);
        } else if (event instanceof AttemptOutcomeDisproved disproved) {
            outcomes.onOutcomeDisproved(disproved);
        } else if (event instanceof MessageWithdrawn withdrawn) {
            withdraw(withdrawn.id());
        } else if (event instanceof TimerFired fired) {
            onTimer(fired.timer());
        } else if (event instanceof EndpointListReceived list) {
            onEndpointList(list);
        } else if (event instanceof RouteRestored restored) {
            warmStart.restore(restored);
        } else if (event instanceof EndpointListPending pending) {
            endpoints.awaitList(pending.maxWaitMicros());
        } else if (event instanceof ProbeCompleted completed) {
            outcomes.onProbeCompleted(completed);
        } else if (event instanceof CompletionPending pending) {
            onCompletionPending(pending);
        } else if (event instanceof CompletionAcknowledged acknowledged) {
            onCompletionAcknowledged(acknowledged.id());
        } else if (event instanceof RetryAfterReceived received) {
            outcomes.onRetryAfter(received.route(), received.retryAfterMicros());
        } else if (event instanceof PeerMessage message) {
            peers.receive(message);
        }
    }

    /**
     * Adds a message from before a restart with its earlier attempts, which count. An attempt without a known outcome
     * counts as a reset, which may have executed. If the route of that attempt is not listed, a message with a key that
     * only that route or its zone recognizes is allowed at no route and waits until its deadline.
     */
    private void resume(MessageResumed event) {
        PendingMessage message = messages.add(event.message());
        message.resumed = true;
        for (PastAttempt past : event.attempts()) {
            Attempt attempt = new Attempt(new Call(endpoints.route(past.route()), past.sentAtMicros(), false));
            attempt.outcome = past.outcome() == null ? AttemptOutcome.RESET : past.outcome();
            message.attempts.add(attempt);
            keyOrder.pauseAfter(message, attempt.outcome);
        }
        messages.dequeue(message);
        completer.retryOrEnd(message);
    }

    private void withdraw(long id) {
        PendingMessage message = messages.find(id);
        if (message != null && !message.isFinished) {
            messages.finish(message);
        }
    }

    private void onTimer(long timer) {
        if (timer == WakeUpTimer.TIMER_ID) {
            wakeUpTimer.onTimer();
            keyOrder.removeObsoleteQueues();
        } else if (timer == DiscoverySubscription.TIMER_ID) {
            subscription.onTimer();
        }
    }

    private void onEndpointList(EndpointListReceived list) {
        if (list.kind() == EndpointListKind.FAILED) {
            subscription.onFailed();
        } else {
            endpoints.apply(list);
        }
    }

    /**
     * Blocks later messages of an ordering key until the completion of a message from before a restart is acknowledged.
     */
    private void onCompletionPending(CompletionPending event) {
        PendingMessage message = messages.addFinished(event.message());
        // The outcome of its last attempt may be unknown.
        keyOrder.pauseAfter(message, AttemptOutcome.RESET);
    }

    private void onCompletionAcknowledged(long id) {
        PendingMessage message = messages.find(id);
        if (message != null) {
            messages.onCompletionAcknowledged(message);
        }
    }

    private void onPeerMessage(int sender, PeerMessageType type, int groupId) {
        LimitGroup group = endpoints.group(groupId);
        if (group == null) {
            return;
        }
        switch (type) {
            case PERMIT -> permits.onPermit(group, false);
            case PROBE_PERMIT -> permits.onPermit(group, true);
            case CONGESTION_NOTICE -> permits.onCongestionNotice(group);
            case PERMIT_REQUEST, REJECTED, FAILED, SERVED -> coordinator.onReport(group, sender, type);
            case UNKNOWN -> {}
        }
    }

    @Override
    public List<RouteSnapshot> routeSnapshots(long now) {
        context.setClock(now);
        return warmStart.snapshots();
    }
}
