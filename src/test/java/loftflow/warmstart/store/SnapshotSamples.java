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

/** Looks at and changes what a relay that is stopped has remembered, as its disk would have it. */
public final class SnapshotSamples {
    private static final String OWN = "app#0";

    private SnapshotSamples() {}

    /** What the next start of a relay would find; reading a living relay's folder takes a copy. */
    public static Snapshot of(Path folder) throws IOException {
        return found(folder).picture();
    }

    /** The ids that are noted since the newest picture, with what is noted. */
    public static List<String> notes(Path folder) throws IOException {
        return found(folder).notes().stream().map(n -> n.kind() + " " + n.id()).collect(Collectors.toList());
    }

    private static SnapshotStore.Found found(Path folder) throws IOException {
        return found(folder, OWN);
    }

    private static SnapshotStore.Found found(Path folder, String owner) throws IOException {
        Path copy = Files.createTempDirectory("pictures");
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches("remembered-.*(picture|notes)"))
                    .toList()) {
                Files.copy(file, copy.resolve(file.getFileName()));
            }
        }
        SnapshotStore.Found found =
                SnapshotStore.at(copy, Long.MAX_VALUE, false).load(owner);
        try (var files = Files.list(copy)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(copy);
        return found;
    }

    /** Puts another picture in the place of the newest; notes stay as they are. */
    public static void change(Path folder, UnaryOperator<Snapshot> by) throws IOException {
        change(folder, OWN, by);
    }

    /** As above, of the relay that is called so. */
    public static void change(Path folder, String owner, UnaryOperator<Snapshot> by) throws IOException {
        Snapshot picture = found(folder, owner).picture();
        Files.write(
                folder.resolve(SnapshotStore.picture(picture.generation())), SnapshotCodec.picture(by.apply(picture)));
    }

    /** Writes a picture as the first of a folder, as of a relay that ended just then. */
    public static void write(Path folder, Snapshot picture, SnapshotDelta... notes) throws IOException {
        SnapshotStore store = SnapshotStore.at(folder, Long.MAX_VALUE, false);
        store.begin(picture.generation());
        store.write(picture.generation(), SnapshotCodec.picture(picture));
        store.end(true);
        for (SnapshotDelta note : notes) {
            store.note(SnapshotCodec.note(note));
        }
    }

    /** Bytes that a file of a picture has. */
    public static long size(Snapshot picture) throws IOException {
        return SnapshotCodec.picture(picture).length;
    }

    /** Cuts the newest picture short. */
    public static void tear(Path folder) throws IOException {
        Path file = folder.resolve(SnapshotStore.picture(found(folder).picture().generation()));
        byte[] all = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(all, all.length / 2));
    }
}
