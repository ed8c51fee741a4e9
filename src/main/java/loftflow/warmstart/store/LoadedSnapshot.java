package loftflow.warmstart.store;

import java.util.List;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * What an earlier process left.
 *
 * @param snapshot the snapshot; null where none can be used
 * @param deltas deltas recorded since the snapshot, in order
 * @param isComplete false where deltas since the snapshot may be missing
 */
public record LoadedSnapshot(Snapshot snapshot, List<SnapshotDelta> deltas, boolean isComplete) {}
