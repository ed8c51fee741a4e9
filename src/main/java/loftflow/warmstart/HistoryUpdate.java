package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.RouteRestored;

/**
 * What follows from a list or an event.
 *
 * @param listUpdate the list for the relay; null for none
 * @param restoredRoutes what the decision module receives with it
 * @param deltas deltas to be written at once
 * @param logLines lines to log
 * @param refreshAtMicros when the full list is to be requested again; {@link EndpointListReconciler#NEVER} for not at
 *     all
 */
public record HistoryUpdate(
        ListUpdate listUpdate,
        List<RouteRestored> restoredRoutes,
        List<SnapshotDelta> deltas,
        List<String> logLines,
        long refreshAtMicros) {
    static final HistoryUpdate NOTHING = ofDeltas(List.of());

    static HistoryUpdate ofDeltas(List<SnapshotDelta> deltas) {
        return new HistoryUpdate(null, List.of(), deltas, List.of(), EndpointListReconciler.NEVER);
    }
}
