package loftflow.policy;

import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;

/**
 * Applies the outcome of a call to its route and limit group. Errors, connection failures and timeouts count as circuit
 * failures. A rejection reduces the send rate instead, unless rejections continue for so long that the destination must
 * be unavailable to all relays. Times are in microseconds.
 */
final class CallEvaluator {
    /**
     * A longer Retry-After exceeds any window in which destinations count calls, which means that the destination is
     * unavailable to all relays.
     */
    private static final long UNAVAILABLE_RETRY_AFTER_MICROS = 2_500_000;

    /** Rejections without a served call for at least this long also mean that it is unavailable to all relays. */
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
     * Applies the outcome of a call. Must be called once per call.
     *
     * @param retryAfterMicros Retry-After requested by the destination; 0 if none
     * @param elapsedMicros time since the call was sent
     */
    void evaluate(Call call, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        if (report.limitPerSecond() > 0) {
            rateLimiter.onLimitReported(group, report.limitPerSecond());
        }
        if (call.isProbe) {
            route.circuit.endProbe(call);
            group.circuit.endProbe(call);
        }
        if (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.REJECTED) {
            route.lastAnswerAtMicros = context.now();
            route.answeredCallSentAtMicros = Math.max(route.answeredCallSentAtMicros, call.sentAtMicros);
        }
        switch (outcome) {
            case OK -> onServed(call, elapsedMicros, report);
            case ERROR, TIMEOUT, CONNECT_FAILED, CANCELLED -> onFailed(call, 1);
                // A reset has no weight: connections also break while a route is healthy, and a failing route refuses
                // new connections, which does count.
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
        // A fleet that exceeds the limit may also receive only rejections, although the destination is available.
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

    /**
     * Returns whether the rejections mean that the destination is unavailable to all relays. It then rejects calls in
     * the same way as above its limit, but recovers with reduced capacity.
     */
    private boolean isUnavailable(LimitGroup group, long retryAfterMicros, LimitReport report) {
        // A rejection while limit remains suggests unavailability, but a single one is no proof, as reports are about
        // 100 ms old.
        boolean limitLeft = context.isLargeFleet() && report.remainingShare() >= SendRateLimiter.SCARCE_REMAINING_SHARE;
        int rejectionsNeeded = limitLeft ? CircuitBreaker.FAILURES_TO_OPEN - 1 : CircuitBreaker.FAILURES_TO_OPEN;
        return retryAfterMicros > UNAVAILABLE_RETRY_AFTER_MICROS
                || group.consecutiveRejections >= rejectionsNeeded
                        && context.now() - group.rejectedSinceMicros >= UNAVAILABLE_AFTER_REJECTIONS_MICROS;
    }
}
