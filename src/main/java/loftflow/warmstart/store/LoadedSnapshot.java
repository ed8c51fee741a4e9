package loftflow.warmstart.store;

import java.util.List;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * State that an earlier process left on disk.
 *
 * @param snapshot the newest usable snapshot; null if there is none
 * @param deltas deltas recorded since the snapshot, in order
 * @param isComplete false if deltas since the snapshot may be missing
 */
public record LoadedSnapshot(Snapshot snapshot, List<SnapshotDelta> deltas, boolean isComplete) {}
