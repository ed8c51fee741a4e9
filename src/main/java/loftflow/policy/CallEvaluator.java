package loftflow.policy;

import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;

/**
 * What does the outcome of a call say of its route and its group? Errors, connection failures and timeouts count as
 * failures of the circuit; a rejection cuts the send rate instead, unless the destination rejects for so long that it
 * must be unavailable to all. Times are microseconds.
 */
final class CallEvaluator {
    /**
     * A Retry-After longer than any window in which destinations count calls: the destination is unavailable to all.
     */
    private static final long UNAVAILABLE_RETRY_AFTER_MICROS = 2_500_000;

    /** Rejections without a served call for this long mean the same. */
    private static final long UNAVAILABLE_AFTER_REJECTIONS_MICROS = 1_000_000;

    private final RoundContext context;
    private final ResponseTimes responseTimes;
    private final KnownLimits limits;
    private final RecoveryRamp ramp;
    private final CircuitBreaker circuitBreaker;
    private final SendRateLimiter rateLimiter;
    private final SendPermits permits;

    CallEvaluator(
            RoundContext context,
            ResponseTimes responseTimes,
            KnownLimits limits,
            RecoveryRamp ramp,
            CircuitBreaker circuitBreaker,
            SendRateLimiter rateLimiter,
            SendPermits permits) {
        this.context = context;
        this.responseTimes = responseTimes;
        this.limits = limits;
        this.ramp = ramp;
        this.circuitBreaker = circuitBreaker;
        this.rateLimiter = rateLimiter;
        this.permits = permits;
    }

    /**
     * Applies the outcome of a call, once a call.
     *
     * @param retryAfterMicros as the destination requested; 0 where it did not
     * @param elapsedMicros since the call was sent
     */
    void evaluate(Call call, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        if (report.limitPerSecond() > 0) {
            rateLimiter.onLimitReported(group, report.limitPerSecond());
        }
        if (call.isProbe) {
            route.circuit.probeInFlight = false;
            group.circuit.probeInFlight = false;
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.REJECTED) {
            route.lastAnswerAtMicros = context.now();
            route.answeredCallSentAtMicros = Math.max(route.answeredCallSentAtMicros, call.sentAtMicros);
        }
        switch (outcome) {
            case OK -> onServed(call, elapsedMicros, report);
            case ERROR, TIMEOUT, CONNECT_FAILED, CANCELLED -> onFailed(call, 1);
                // Connections may break while the route is sound; a failing route refuses new ones as well.
            case RESET -> onFailed(call, 0);
            case REJECTED -> onRejected(call, retryAfterMicros, report);
            case NOT_SENT -> {}
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.REJECTED) {
            route.addressUnverified = false;
            route.lastResort = false;
        }
    }

    private void onServed(Call call, long elapsedMicros, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.errorRate *= 1 - ResponseTimes.LATEST_CALL_WEIGHT;
        responseTimes.record(route, elapsedMicros);
        group.consecutiveRejections = 0;
        if (group.reportsNextOutcome || !group.circuit.isClosed()) {
            group.reportsNextOutcome = false;
            permits.report(group, PeerMessageType.SERVED);
        }
        group.servedCalls.increment(context.now());
        rateLimiter.onServed(group, report.remainingShare());
        circuitBreaker.onServed(call);
    }

    private void onFailed(Call call, int weight) {
        Route route = call.route;
        LimitGroup group = route.group;
        circuitBreaker.onFailed(call, weight);
        if (group.reportsNextOutcome || route.circuit.state == Circuit.State.OPEN) {
            permits.report(group, PeerMessageType.FAILED);
        }
        ramp.restartIfActive(group);
    }

    private void onRejected(Call call, long retryAfterMicros, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        countRejection(group, report);
        boolean unavailable = isUnavailable(group, retryAfterMicros, report);
        if (unavailable || !group.circuit.isClosed()) {
            circuitBreaker.open(group.circuit, group, Circuit.Cause.REJECTIONS, retryAfterMicros);
        }
        if (call.isProbe && !route.circuit.isClosed()) {
            circuitBreaker.open(route.circuit, group, Circuit.Cause.REJECTIONS, retryAfterMicros);
        }
        rateLimiter.onRejected(group, call.sentAtMicros);
        permits.report(group, PeerMessageType.REJECTED);
    }

    private void countRejection(LimitGroup group, LimitReport report) {
        // A fleet that exceeds a limit sees nothing but rejections too, though the destination is available.
        boolean limitUsedUp =
                limits.limitPerSecond(group) > 0 && report.remainingShare() < SendRateLimiter.SCARCE_REMAINING_SHARE;
        if (limitUsedUp && rateLimiter.exceedsFairShare(group)) {
            group.consecutiveRejections = 0;
        }
        if (group.consecutiveRejections == 0) {
            group.rejectedSinceMicros = context.now();
        }
        group.consecutiveRejections++;
    }

    /** A destination that is unavailable to all rejects like one above its limit, but recovers cold. */
    private boolean isUnavailable(LimitGroup group, long retryAfterMicros, LimitReport report) {
        // With limit left, a rejection is suspicious; a single one proves nothing, as reports are some 100 ms old.
        boolean limitLeft = context.isLargeFleet() && report.remainingShare() >= SendRateLimiter.SCARCE_REMAINING_SHARE;
        int enough = limitLeft ? CircuitBreaker.FAILURES_TO_OPEN - 1 : CircuitBreaker.FAILURES_TO_OPEN;
        return retryAfterMicros > UNAVAILABLE_RETRY_AFTER_MICROS
                || group.consecutiveRejections >= enough
                        && context.now() - group.rejectedSinceMicros >= UNAVAILABLE_AFTER_REJECTIONS_MICROS;
    }
}
