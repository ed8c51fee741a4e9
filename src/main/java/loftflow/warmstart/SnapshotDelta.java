package loftflow.warmstart;

import java.util.List;

/**
 * A change that is recorded at once instead of with the next snapshot, since a restart without it would use
 * outdated state, such as an endpoint that has been removed.
 *
 * @param endpointId the endpoint; empty for {@link Kind#DELTAS_LOST}, which applies to all endpoints
 * @param atMicros time by the relay's own clock: when the change happened, or for {@link Kind#RETRY_AFTER} and
 *     {@link Kind#DELTAS_LOST} when the wait ends (0 if there is no wait)
 */
public record SnapshotDelta(Kind kind, String endpointId, long atMicros) {
    /** Kind of a change. */
    public enum Kind {
        /** Discovery removed the endpoint or is draining it. */
        OUT_OF_SERVICE,
        /** This relay ejected the endpoint. */
        EJECTED,
        /** The endpoint sent a retry-after; {@code atMicros} is the end of the wait. */
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

    /** Returns one delta that replaces several that could not be written. It covers the worst case of all of them. */
    public static SnapshotDelta summaryOf(List<SnapshotDelta> deltas) {
        long retryAfterUntilMicros = deltas.stream()
                .filter(delta -> delta.kind() == Kind.RETRY_AFTER || delta.kind() == Kind.DELTAS_LOST)
                .mapToLong(SnapshotDelta::atMicros)
                .max()
                .orElse(0);
        return new SnapshotDelta(Kind.DELTAS_LOST, "", retryAfterUntilMicros);
    }
}
