package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/** Reads, writes and damages the warm start files of a relay, for tests. */
public final class SnapshotSamples {
    private static final String OWNER = "app#0";

    private SnapshotSamples() {}

    /** Returns the snapshot that the next start would load. Reads copies of the files, as the relay may be running. */
    public static Snapshot readLatest(Path folder) throws IOException {
        return load(folder).snapshot();
    }

    /** Returns the deltas since the newest snapshot, each as its kind, a space and the endpoint's id. */
    public static List<String> readDeltas(Path folder) throws IOException {
        return load(folder).deltas().stream()
                .map(delta -> delta.kind() + " " + delta.endpointId())
                .collect(Collectors.toList());
    }

    private static SnapshotStore.LoadedState load(Path folder) throws IOException {
        return load(folder, OWNER);
    }

    private static SnapshotStore.LoadedState load(Path folder, String owner) throws IOException {
        Path copy = Files.createTempDirectory("snapshots");
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches("remembered-.*(picture|notes)"))
                    .toList()) {
                Files.copy(file, copy.resolve(file.getFileName()));
            }
        }
        SnapshotStore.LoadedState loaded =
                SnapshotStore.at(copy, Long.MAX_VALUE, false).load(owner);
        try (var files = Files.list(copy)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(copy);
        return loaded;
    }

    /** Replaces the newest snapshot by a modified one and leaves its deltas unchanged. */
    public static void rewriteLatest(Path folder, UnaryOperator<Snapshot> change) throws IOException {
        rewriteLatest(folder, OWNER, change);
    }

    /** Replaces the newest snapshot of the given relay by a modified one and leaves its deltas unchanged. */
    public static void rewriteLatest(Path folder, String owner, UnaryOperator<Snapshot> change) throws IOException {
        Snapshot snapshot = load(folder, owner).snapshot();
        Files.write(
                folder.resolve(SnapshotStore.snapshotFileName(snapshot.generation())),
                SnapshotCodec.encodeSnapshot(change.apply(snapshot)));
    }

    /** Writes the first snapshot of a folder, with deltas. */
    public static void write(Path folder, Snapshot snapshot, SnapshotDelta... deltas) throws IOException {
        SnapshotStore store = SnapshotStore.at(folder, Long.MAX_VALUE, false);
        store.beginSnapshot(snapshot.generation());
        store.writeSnapshot(snapshot.generation(), SnapshotCodec.encodeSnapshot(snapshot));
        store.endSnapshot(true);
        for (SnapshotDelta delta : deltas) {
            store.appendDelta(SnapshotCodec.encodeDelta(delta));
        }
    }

    /** Returns the size of a snapshot's file in bytes. */
    public static long size(Snapshot snapshot) throws IOException {
        return SnapshotCodec.encodeSnapshot(snapshot).length;
    }

    /** Truncates the newest snapshot file to half of its size. */
    public static void truncateLatest(Path folder) throws IOException {
        Path file = folder.resolve(
                SnapshotStore.snapshotFileName(load(folder).snapshot().generation()));
        byte[] bytes = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(bytes, bytes.length / 2));
    }
}
