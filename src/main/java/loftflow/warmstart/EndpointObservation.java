package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;

/** What this process has observed of one endpoint: failures, strikes towards its ejection, and its retry-after. */
final class EndpointObservation {
    private static final int EJECTION_STRIKES = 2;
    /** Strikes within this interval of the last one count as the same one. */
    private static final long STRIKE_INTERVAL_MICROS = 1_000_000;
    /** Consecutive failures from which an endpoint counts as failed. */
    private static final int FAILURE_THRESHOLD = 3;
    /** A retry-after is recorded again only where its end moves by more than this. */
    private static final long RETRY_AFTER_STEP_MICROS = 200_000;

    private int strikes;
    private long lastStrikeMicros = Long.MIN_VALUE / 2;
    private int consecutiveFailures;
    private boolean isFailed;
    private long retryAfterUntilMicros;

    /**
     * Continues from what an earlier process recorded.
     *
     * @param retryAfterUntil end of the recorded retry-after in the relay's own time; 0 for none
     */
    void restore(boolean failed, long retryAfterUntil) {
        isFailed = failed;
        retryAfterUntilMicros = retryAfterUntil;
    }

    /**
     * Records the end of a call or a probe.
     *
     * @param deltas takes what is to be written down at once
     * @return the endpoint with the evidence that the outcome gives
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

    /** Records a successful call; true where the endpoint recovers by it. */
    private boolean recordSuccess() {
        consecutiveFailures = 0;
        strikes = 0;
        boolean hasRecovered = isFailed;
        isFailed = false;
        return hasRecovered;
    }

    /** Records a failed call; true where the endpoint counts as failed from now on. */
    private boolean recordFailure() {
        consecutiveFailures++;
        if (consecutiveFailures < FAILURE_THRESHOLD || isFailed) {
            return false;
        }
        isFailed = true;
        return true;
    }

    /** Records a call that was refused or hung. */
    void recordStrike(long nowMicros) {
        if (nowMicros - lastStrikeMicros >= STRIKE_INTERVAL_MICROS) {
            strikes++;
            lastStrikeMicros = nowMicros;
        }
    }

    boolean hasEjectionStrikes() {
        return strikes >= EJECTION_STRIKES;
    }

    /** Records a retry-after; true where its end moves so far that it is to be written down. */
    boolean recordRetryAfter(long waitMicros, long nowMicros) {
        if (waitMicros <= 0 || nowMicros + waitMicros <= retryAfterUntilMicros + RETRY_AFTER_STEP_MICROS) {
            return false;
        }
        retryAfterUntilMicros = nowMicros + waitMicros;
        return true;
    }

    /** End of the recorded retry-after in the relay's own time; 0 for none. */
    long retryAfterUntilMicros() {
        return retryAfterUntilMicros;
    }
}
