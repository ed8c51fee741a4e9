package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;

/** Observations of one endpoint by this process: failures, refusals and hangs that lead to ejection, retry-after. */
final class EndpointObservation {
    /** Number of refusals and hangs since the last success at which an endpoint is ejected. */
    private static final int EJECTION_THRESHOLD = 2;
    /** A refusal or hang within this interval of the last one counted is not counted. */
    private static final long MIN_REFUSAL_INTERVAL_MICROS = 1_000_000;
    /** Number of consecutive failures at which an endpoint counts as failed. */
    private static final int FAILURE_THRESHOLD = 3;
    /** Smallest extension of a retry-after that is recorded again. */
    private static final long RETRY_AFTER_STEP_MICROS = 200_000;

    private int refusalsAndHangs;
    private long lastRefusalOrHangMicros = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private boolean isFailed;
    private long retryAfterUntilMicros;

    /**
     * Restores the state that an earlier process recorded.
     *
     * @param failed whether the endpoint counted as failed
     * @param retryAfterUntil end of the recorded retry-after in the relay's own time; 0 for none
     */
    void restore(boolean failed, long retryAfterUntil) {
        isFailed = failed;
        retryAfterUntilMicros = retryAfterUntil;
    }

    /**
     * Records the outcome of a call or a probe.
     *
     * @param deltas receives the deltas to be written at once
     * @return the endpoint, updated with the evidence of the outcome
     */
    KnownEndpoint recordOutcome(
            KnownEndpoint endpoint, AttemptOutcome outcome, List<SnapshotDelta> deltas, long nowMicros) {
        return switch (outcome) {
            case OK -> {
                if (recordSuccess()) {
                    deltas.add(new SnapshotDelta(SnapshotDelta.Kind.RECOVERED, endpoint.id(), nowMicros));
                    yield endpoint.withAnswer(nowMicros).withRecovery(nowMicros);
                }
                yield endpoint.withAnswer(nowMicros);
            }
            case REJECTED -> endpoint.withAnswer(nowMicros);
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> {
                if (recordFailure()) {
                    deltas.add(new SnapshotDelta(SnapshotDelta.Kind.FAILED, endpoint.id(), nowMicros));
                }
                yield outcome == AttemptOutcome.ERROR
                        ? endpoint.withAnswer(nowMicros)
                        : endpoint.withFailure(nowMicros);
            }
            case CANCELLED, NOT_SENT -> endpoint;
        };
    }

    /** Records a successful call. Returns true if the endpoint had failed and now recovers. */
    private boolean recordSuccess() {
        consecutiveFailures = 0;
        refusalsAndHangs = 0;
        boolean hasRecovered = isFailed;
        isFailed = false;
        return hasRecovered;
    }

    /** Records a failed call. Returns true if it is the failure at which the endpoint becomes failed. */
    private boolean recordFailure() {
        consecutiveFailures++;
        if (consecutiveFailures < FAILURE_THRESHOLD || isFailed) {
            return false;
        }
        isFailed = true;
        return true;
    }

    /** Records a call that was refused or hung. */
    void recordRefusalOrHang(long nowMicros) {
        if (nowMicros - lastRefusalOrHangMicros >= MIN_REFUSAL_INTERVAL_MICROS) {
            refusalsAndHangs++;
            lastRefusalOrHangMicros = nowMicros;
        }
    }

    boolean hasReachedEjectionThreshold() {
        return refusalsAndHangs >= EJECTION_THRESHOLD;
    }

    /** Records a retry-after. Returns true if it extends the recorded one by enough to be written. */
    boolean recordRetryAfter(long waitMicros, long nowMicros) {
        if (waitMicros <= 0 || nowMicros + waitMicros <= retryAfterUntilMicros + RETRY_AFTER_STEP_MICROS) {
            return false;
        }
        retryAfterUntilMicros = nowMicros + waitMicros;
        return true;
    }

    /** Returns the end of the recorded retry-after in the relay's own time; 0 for none. */
    long retryAfterUntilMicros() {
        return retryAfterUntilMicros;
    }
}
