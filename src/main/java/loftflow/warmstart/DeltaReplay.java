package loftflow.warmstart;

import java.util.List;
import java.util.Map;

/** Applies the deltas that were recorded after a snapshot to its endpoints. */
final class DeltaReplay {
    private DeltaReplay() {}

    /**
     * Applies deltas in order. Deltas of unknown endpoints are ignored.
     *
     * @param endpoints by id; modified in place
     * @param savedAtMicros the relay's own time at the snapshot
     * @return false if deltas were lost, in which case any endpoint may have changed
     */
    static boolean apply(Map<String, KnownEndpoint> endpoints, List<SnapshotDelta> deltas, long savedAtMicros) {
        boolean isComplete = true;
        for (SnapshotDelta delta : deltas) {
            if (delta.kind() == SnapshotDelta.Kind.DELTAS_LOST) {
                isComplete = false;
                endpoints.replaceAll((id, endpoint) -> withRetryAfter(endpoint, delta, savedAtMicros));
            } else {
                endpoints.computeIfPresent(
                        delta.endpointId(), (id, endpoint) -> withDelta(endpoint, delta, savedAtMicros));
            }
        }
        return isComplete;
    }

    private static KnownEndpoint withDelta(KnownEndpoint endpoint, SnapshotDelta delta, long savedAtMicros) {
        return switch (delta.kind()) {
            case OUT_OF_SERVICE -> endpoint.withState(KnownEndpoint.State.OUT_OF_SERVICE);
            case EJECTED -> endpoint.withState(KnownEndpoint.State.EJECTED);
            case RETRY_AFTER -> withRetryAfter(endpoint, delta, savedAtMicros);
            case FAILED -> withCircuitOpen(endpoint, true).withFailure(delta.atMicros());
            case RECOVERED -> withCircuitOpen(endpoint, false)
                    .withAnswer(delta.atMicros())
                    .withRecovery(delta.atMicros());
            case DELTAS_LOST -> throw new IllegalStateException(delta.kind() + " applies to all endpoints");
        };
    }

    private static KnownEndpoint withRetryAfter(KnownEndpoint endpoint, SnapshotDelta delta, long savedAtMicros) {
        return endpoint.withRouteSnapshot(RouteSnapshots.withRetryAfterAtLeast(
                endpoint.routeSnapshotOrUnknown(), delta.atMicros() - savedAtMicros));
    }

    private static KnownEndpoint withCircuitOpen(KnownEndpoint endpoint, boolean isOpen) {
        return endpoint.withRouteSnapshot(RouteSnapshots.withCircuitOpen(endpoint.routeSnapshotOrUnknown(), isOpen));
    }
}
