package loftflow.policy;

import loftflow.policy.api.Idempotency;

/**
 * Computes the timeout of each attempt: several times its route's expected response time, with a minimum so that slow
 * calls are not repeated; a shorter timeout for probes; the message's deadline if no further attempt could follow.
 * Durations are in microseconds.
 */
final class AttemptTimeouts {
    private static final long MIN_TIMEOUT_MICROS = 4_000_000;
    private static final long MIN_PROBE_TIMEOUT_MICROS = 1_500_000;
    private static final double PROBE_TIMEOUT_RATIO = 4;
    /** Multiple of the expected response time that a message must have left to share a call. */
    private static final double SHARED_CALL_RATIO = 2;

    /** Timeout value that stands for the message's deadline. */
    private static final long UNTIL_DEADLINE = 0;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    AttemptTimeouts(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** Returns the timeout of the attempt that was just added to a message. */
    long timeoutMicros(PendingMessage message, Call call) {
        boolean isLastAttempt = message.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || message.attempts.size() >= context.settings().limits().maxAttempts();
        if (isLastAttempt) {
            return UNTIL_DEADLINE;
        }
        if (call.isProbe) {
            return probeTimeoutMicros(call.route);
        }
        double expected = responseTimes.expectedMicros(call.route);
        return Math.max(MIN_TIMEOUT_MICROS, (long) (OutlierDetector.OVERDUE_RATIO * expected));
    }

    /**
     * Returns whether a message may share a call. One that is likely to reach its deadline before the answer comes
     * would leave it open whether the others of its call were delivered, so it travels alone.
     */
    boolean mayShareCall(PendingMessage message, Route route) {
        double leftMicros = message.deadlineMicros - context.now();
        return leftMicros > SHARED_CALL_RATIO * responseTimes.expectedMicros(route);
    }

    long probeTimeoutMicros(Route route) {
        double expected = responseTimes.expectedMicros(route);
        return Math.max(MIN_PROBE_TIMEOUT_MICROS, (long) (PROBE_TIMEOUT_RATIO * expected));
    }
}
