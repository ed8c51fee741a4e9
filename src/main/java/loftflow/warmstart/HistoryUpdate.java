package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.RouteRestored;

/**
 * Effects of a list or an event.
 *
 * @param listUpdate the list to apply to the relay; null if there is none
 * @param restoredRoutes restored routes that the decision module receives with the list
 * @param deltas deltas to write at once
 * @param logLines lines to log
 * @param refreshAtMicros when to request the full list again; {@link EndpointListReconciler#NEVER} if no request is
 *     needed
 */
public record HistoryUpdate(
        ListUpdate listUpdate,
        List<RouteRestored> restoredRoutes,
        List<SnapshotDelta> deltas,
        List<String> logLines,
        long refreshAtMicros) {
    static final HistoryUpdate EMPTY = ofDeltas(List.of());

    static HistoryUpdate ofDeltas(List<SnapshotDelta> deltas) {
        return new HistoryUpdate(null, List.of(), deltas, List.of(), EndpointListReconciler.NEVER);
    }
}
