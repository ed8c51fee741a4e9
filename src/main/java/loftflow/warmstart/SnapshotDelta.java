package loftflow.warmstart;

import java.util.List;

/**
 * A change that is recorded at once instead of with the next snapshot, since a start that did not know it would do
 * harm.
 *
 * @param endpointId the endpoint; empty for {@link Kind#DELTAS_LOST}, which concerns all of them
 * @param atMicros the relay's own time: when the change happened, or for {@link Kind#RETRY_AFTER} and
 *     {@link Kind#DELTAS_LOST} when the wait ends (0 for no wait)
 */
public record SnapshotDelta(Kind kind, String endpointId, long atMicros) {
    /** What changed. */
    public enum Kind {
        /** Discovery removed the endpoint or is draining it. */
        OUT_OF_SERVICE,
        /** This relay ejected the endpoint. */
        EJECTED,
        /** The endpoint sent a retry-after; {@code atMicros} is its end. */
        RETRY_AFTER,
        /** Consecutive calls to the endpoint failed. */
        FAILED,
        /** The endpoint answered again after it had failed. */
        RECOVERED,
        /**
         * Deltas could not be written: any endpoint may be out of service or failed, and may have a retry-after until
         * {@code atMicros}.
         */
        DELTAS_LOST
    }

    /** One delta that stands for several that can't be written. It holds whatever they say. */
    public static SnapshotDelta summaryOf(List<SnapshotDelta> deltas) {
        long retryAfterUntilMicros = deltas.stream()
                .filter(delta -> delta.kind() == Kind.RETRY_AFTER || delta.kind() == Kind.DELTAS_LOST)
                .mapToLong(SnapshotDelta::atMicros)
                .max()
                .orElse(0);
        return new SnapshotDelta(Kind.DELTAS_LOST, "", retryAfterUntilMicros);
    }
}
