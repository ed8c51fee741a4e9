package loftflow.policy;

import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.ProbeCompleted;

/**
 * Books the outcomes of attempts and probes: ends calls, applies Retry-After, has each call evaluated once, and lets
 * its messages finish or wait for another attempt.
 */
final class OutcomeProcessor {
    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final PendingMessages messages;
    private final KeyOrder keyOrder;
    private final ConcurrencyLimiter concurrency;
    private final AttemptTimeouts timeouts;
    private final CallEvaluator evaluator;
    private final MessageCompleter completer;

    OutcomeProcessor(
            RoundContext context,
            EndpointRegistry endpoints,
            PendingMessages messages,
            KeyOrder keyOrder,
            ConcurrencyLimiter concurrency,
            AttemptTimeouts timeouts,
            CallEvaluator evaluator,
            MessageCompleter completer) {
        this.context = context;
        this.endpoints = endpoints;
        this.messages = messages;
        this.keyOrder = keyOrder;
        this.concurrency = concurrency;
        this.timeouts = timeouts;
        this.evaluator = evaluator;
        this.completer = completer;
    }

    /** An attempt ended; one that is unknown, or has ended before, is ignored. */
    void onAttemptCompleted(AttemptCompleted event) {
        PendingMessage message = messages.find(event.id());
        if (message == null || event.attempt() >= message.attempts.size()) {
            return;
        }
        Attempt attempt = message.attempts.get(event.attempt());
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = event.outcome();
        message.attemptsInFlight--;
        Call call = attempt.call;
        endCall(call, event);
        endpoints.forgetIfGone(call.route);
        keyOrder.pauseAfter(message, event.outcome());
        if (message.isFinished) {
            messages.forgetIfSettled(message);
        } else if (event.messageClosed()) {
            messages.finish(message);
        } else if (message.attemptsInFlight == 0) {
            completer.retryOrEnd(message);
        }
    }

    private void endCall(Call call, AttemptCompleted event) {
        call.pendingOutcomes--;
        if (call.pendingOutcomes == 0) {
            concurrency.onEnded(call);
        }
        // Any message of a call may be the one whose answer carries the Retry-After.
        applyRetryAfter(call.route.group, event.retryAfterMicros());
        if (!call.isEvaluated) {
            call.isEvaluated = true;
            evaluator.evaluate(
                    call,
                    outcomeForRoute(call, event),
                    event.retryAfterMicros(),
                    event.elapsedMicros(),
                    event.limitReport());
        }
    }

    /** A message sent shortly before its deadline times out early, which says nothing of the route. */
    private AttemptOutcome outcomeForRoute(Call call, AttemptCompleted event) {
        boolean timedOutEarly = event.outcome() == AttemptOutcome.TIMEOUT
                && event.elapsedMicros() < timeouts.probeTimeoutMicros(call.route);
        return timedOutEarly ? AttemptOutcome.NOT_SENT : event.outcome();
    }

    /** A health check ended; it counts like a probing call. */
    void onProbeCompleted(ProbeCompleted event) {
        Route route = endpoints.route(event.route());
        if (route != null) {
            applyRetryAfter(route.group, event.retryAfterMicros());
            Call probe = new Call(route, context.now() - event.elapsedMicros(), true);
            evaluator.evaluate(
                    probe, event.outcome(), event.retryAfterMicros(), event.elapsedMicros(), event.limitReport());
        }
    }

    /** A destination requested that nothing be sent for a while. */
    void onRetryAfter(String routeName, long retryAfterMicros) {
        Route route = endpoints.route(routeName);
        if (route != null) {
            applyRetryAfter(route.group, retryAfterMicros);
        }
    }

    private void applyRetryAfter(LimitGroup group, long retryAfterMicros) {
        if (retryAfterMicros > 0) {
            group.retryNotBeforeMicros = Math.max(group.retryNotBeforeMicros, context.now() + retryAfterMicros);
        }
    }
}
