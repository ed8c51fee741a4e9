package loftflow.policy;

import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.AttemptOutcomeDisproved;
import loftflow.policy.api.ProbeCompleted;

/**
 * Records the outcomes of attempts and probes: ends calls, applies Retry-After, has each call evaluated once, and
 * finishes its messages or queues them for another attempt.
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

    /** Handles the end of an attempt; ignores an attempt that is unknown or has already ended. */
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
        endpoints.removeIfUnused(call.route);
        keyOrder.pauseAfter(message, event.outcome());
        if (message.isFinished) {
            messages.removeIfSettled(message);
        } else if (event.messageClosed()) {
            messages.finish(message);
        } else if (message.attemptsInFlight == 0) {
            completer.retryOrEnd(message);
        }
    }

    /**
     * Handles an outcome that is no longer proven: the attempt counts as one that may have executed. The message ends
     * if that forbids another attempt.
     */
    void onOutcomeDisproved(AttemptOutcomeDisproved event) {
        PendingMessage message = messages.find(event.id());
        if (message == null || message.isFinished || event.attempt() >= message.attempts.size()) {
            return;
        }
        message.attempts.get(event.attempt()).outcome = AttemptOutcome.ERROR;
        keyOrder.pauseAfter(message, AttemptOutcome.RESET);
        if (message.attemptsInFlight == 0) {
            messages.dequeue(message);
            completer.retryOrEnd(message);
        }
    }

    private void endCall(Call call, AttemptCompleted event) {
        call.pendingOutcomes--;
        if (call.pendingOutcomes == 0) {
            concurrency.onEnded(call);
        }
        // The answer to any message of a call may carry the Retry-After.
        applyRetryAfter(call.route.group, event.retryAfterMicros());
        boolean timedOutEarly = isEarlyTimeout(call, event);
        boolean isDecidedByOthers = timedOutEarly && call.pendingOutcomes > 0;
        if (!call.isEvaluated && !isDecidedByOthers) {
            call.isEvaluated = true;
            evaluator.evaluate(
                    call,
                    timedOutEarly ? AttemptOutcome.NOT_SENT : event.outcome(),
                    event.retryAfterMicros(),
                    event.elapsedMicros(),
                    event.limitReport());
        }
    }

    /**
     * Returns whether a message that was sent shortly before its deadline has timed out, which indicates nothing about
     * the route.
     */
    private boolean isEarlyTimeout(Call call, AttemptCompleted event) {
        return event.outcome() == AttemptOutcome.TIMEOUT
                && event.elapsedMicros() < timeouts.probeTimeoutMicros(call.route);
    }

    /** Handles the end of a health check, which counts like a probing call; ignores one that has already ended. */
    void onProbeCompleted(ProbeCompleted event) {
        Route route = endpoints.route(event.route());
        if (route == null) {
            return;
        }
        applyRetryAfter(route.group, event.retryAfterMicros());
        Call check = route.healthChecksInFlight.poll();
        if (check == null) {
            return;
        }
        evaluator.evaluate(
                check, event.outcome(), event.retryAfterMicros(), event.elapsedMicros(), event.limitReport());
        endpoints.removeIfUnused(route);
    }

    /** Handles a Retry-After that arrived outside the outcome of an attempt or health check. */
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
