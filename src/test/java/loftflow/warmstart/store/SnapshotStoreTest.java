package loftflow.warmstart.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Snapshot and delta files: a crash at each step, a full disk, and torn, foreign and damaged files. */
class SnapshotStoreTest {
    @TempDir
    Path folder;

    /** A folder whose process crashes at one step; a write that fails may have written a part. */
    private static final class FaultyFolder implements SnapshotFolder {
        private final SnapshotFolder disk;
        private final SplittableRandom random;
        int steps;
        int failAtStep = Integer.MAX_VALUE;
        boolean isKilled;
        boolean isFull;

        FaultyFolder(SnapshotFolder disk, long seed) {
            this.disk = disk;
            random = new SplittableRandom(seed);
        }

        private boolean fails() throws IOException {
            if (isKilled || isFull) {
                throw new IOException(isKilled ? "killed" : "No space left on device");
            }
            return steps++ == failAtStep;
        }

        private IOException kill() {
            isKilled = true;
            return new IOException("killed");
        }

        @Override
        public byte[] read(String name) throws IOException {
            return disk.read(name);
        }

        @Override
        public void write(String name, byte[] bytes, boolean sync) throws IOException {
            if (fails()) {
                disk.write(name, Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)), sync);
                throw kill();
            }
            disk.write(name, bytes, sync);
        }

        @Override
        public void append(String name, byte[] bytes) throws IOException {
            if (fails()) {
                disk.append(name, Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
                throw kill();
            }
            disk.append(name, bytes);
        }

        @Override
        public void replace(String firstDelta, String to) throws IOException {
            if (fails()) {
                if (random.nextBoolean()) {
                    disk.replace(firstDelta, to);
                }
                throw kill();
            }
            disk.replace(firstDelta, to);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }
    }

    private static Snapshot snapshot(long generation, String owner) {
        return new Snapshot(
                owner,
                generation,
                new ClockReading(7, 8, "boot"),
                9,
                40 + generation,
                IntStream.range(0, 3)
                        .mapToObj(i -> new KnownEndpoint(
                                new EndpointEntry("e" + i, i, "kind", "a", Availability.LISTED, 2.5),
                                "127.0.0.1:" + (1000 + i),
                                KnownEndpoint.State.values()[i],
                                1,
                                2,
                                3,
                                4,
                                i == 0 ? null : new RouteSnapshot("e" + i, 5, 6, 7, 8, true, 9)))
                        .toList());
    }

    private SnapshotStore store() throws IOException {
        return SnapshotStore.at(folder, 10_000, false);
    }

    private static void save(SnapshotStore store, long generation) throws IOException {
        store.beginSnapshot(generation);
        store.writeSnapshot(generation, SnapshotCodec.encodeSnapshot(snapshot(generation, "app#0")));
        store.endSnapshot(true);
    }

    private static void appendDelta(SnapshotStore store, String id) throws IOException {
        store.appendDelta(SnapshotCodec.encodeDelta(new SnapshotDelta(SnapshotDelta.Kind.OUT_OF_SERVICE, id, 5)));
    }

    private static List<String> endpointIds(SnapshotStore.LoadedState loaded) {
        return loaded.deltas().stream()
                .map(SnapshotDelta::endpointId)
                .distinct()
                .toList();
    }

    @Test
    void snapshotAndDeltasAreLoadedAsWritten() throws IOException {
        SnapshotStore store = store();
        assertNull(store.load("app#0").snapshot());
        assertTrue(store.needsSnapshot(), "there is no snapshot that a delta could follow");
        save(store, 1);
        appendDelta(store, "x");
        SnapshotStore.LoadedState loaded = store().load("app#0");
        assertEquals(snapshot(1, "app#0"), loaded.snapshot());
        assertEquals(List.of(new SnapshotDelta(SnapshotDelta.Kind.OUT_OF_SERVICE, "x", 5)), loaded.deltas());
        assertTrue(
                loaded.isComplete() && loaded.logLines().isEmpty(),
                loaded.logLines().toString());
    }

    /** Whatever the step of the crash, the next start loads the newest acknowledged write. */
    @Test
    void crashAtAnyStepLosesNoDeltaAndNoSnapshot() throws IOException {
        int kills = 0;
        for (int step = 0; step < 40; step++) {
            for (int seed = 0; seed < 20; seed++) {
                Path killFolder = folder.resolve(step + "-" + seed);
                Files.createDirectories(killFolder);
                FaultyFolder disk = new FaultyFolder(SnapshotFolder.onDisk(killFolder), seed);
                disk.failAtStep = step;
                SnapshotStore store = new SnapshotStore(disk, 10_000, false);
                long lastWritten = 0;
                int deltasWritten = 0;
                int deltasBefore = 0;
                try {
                    for (long generation = 1; generation <= 3; generation++) {
                        store.beginSnapshot(generation);
                        deltasBefore = deltasWritten;
                        appendDelta(store, "n" + ++deltasWritten);
                        store.writeSnapshot(generation, SnapshotCodec.encodeSnapshot(snapshot(generation, "app#0")));
                        lastWritten = generation;
                        store.endSnapshot(true);
                        appendDelta(store, "n" + ++deltasWritten);
                    }
                } catch (IOException e) {
                    kills++;
                }
                SnapshotStore.LoadedState loaded =
                        new SnapshotStore(SnapshotFolder.onDisk(killFolder), 10_000, false).load("app#0");
                long generation =
                        loaded.snapshot() == null ? 0 : loaded.snapshot().generation();
                assertTrue(
                        generation == lastWritten || generation == lastWritten + 1,
                        "snapshot " + generation + " of " + lastWritten);
                int lastDelta = disk.isKilled ? deltasWritten - 1 : deltasWritten;
                int firstDelta = generation == 0 ? lastDelta + 1 : (int) (2 * generation - 1);
                for (int n = firstDelta; n <= lastDelta; n++) {
                    assertTrue(
                            endpointIds(loaded).contains("n" + n) || !loaded.isComplete(),
                            "delta " + n + " of " + endpointIds(loaded) + " step " + step);
                    assertTrue(endpointIds(loaded).contains("n" + n), "delta " + n + " is lost");
                }
                assertTrue(deltasBefore <= deltasWritten);
            }
        }
        assertTrue(kills > 200, "kills: " + kills);
    }

    @Test
    void fullDiskLeavesThePreviousSnapshot() throws IOException {
        FaultyFolder disk = new FaultyFolder(SnapshotFolder.onDisk(folder), 1);
        SnapshotStore store = new SnapshotStore(disk, 10_000, false);
        save(store, 1);
        disk.isFull = true;
        assertThrows(IOException.class, () -> store.beginSnapshot(2));
        store.endSnapshot(false);
        assertThrows(IOException.class, () -> appendDelta(store, "x"));
        disk.isFull = false;
        appendDelta(store, "y");
        assertEquals(List.of("y"), endpointIds(store().load("app#0")));
        save(store, 2);
        assertEquals(2, store().load("app#0").snapshot().generation());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 8, 12, 16, 40, 100})
    void tornSnapshotIsSetAsideAndThePreviousOneIsUsedWithAllDeltas(int length) throws IOException {
        SnapshotStore store = store();
        save(store, 1);
        appendDelta(store, "a");
        save(store, 2);
        appendDelta(store, "b");
        Path newest = folder.resolve(SnapshotStore.snapshotFileName(2));
        Files.write(newest, Arrays.copyOf(Files.readAllBytes(newest), length));
        SnapshotStore.LoadedState loaded = store().load("app#0");
        assertEquals(1, loaded.snapshot().generation());
        assertEquals(List.of("a", "b"), endpointIds(loaded));
        assertTrue(loaded.isComplete());
        assertEquals(1, loaded.logLines().size());
        assertTrue(Files.exists(folder.resolve(SnapshotStore.snapshotFileName(2) + ".bad")));
    }

    @Test
    void anyDamagedByteIsDetected() throws IOException {
        byte[] bytes = SnapshotCodec.encodeSnapshot(snapshot(1, "app#0"));
        for (int at = 0; at < bytes.length; at++) {
            byte[] damaged = bytes.clone();
            damaged[at] ^= 0x10;
            assertThrows(
                    SnapshotCodec.UnreadableException.class, () -> SnapshotCodec.decodeSnapshot(damaged), "byte " + at);
        }
        assertEquals(snapshot(1, "app#0"), SnapshotCodec.decodeSnapshot(bytes));
    }

    @Test
    void foreignFilesAndLaterFormatsAreLoggedAndNotUsed() throws IOException {
        SnapshotStore store = store();
        store.beginSnapshot(1);
        store.writeSnapshot(1, SnapshotCodec.encodeSnapshot(snapshot(1, "app#3")));
        store.endSnapshot(true);
        SnapshotStore.LoadedState foreign = store().load("app#0");
        assertNull(foreign.snapshot());
        assertTrue(
                foreign.logLines().get(0).contains("owner is app#3, expected is app#0"),
                foreign.logLines().toString());
        byte[] later = SnapshotCodec.encodeSnapshot(snapshot(1, "app#0"));
        later[SnapshotCodec.HEADER_BYTES - 1]++;
        Files.write(folder.resolve(SnapshotStore.snapshotFileName(1)), later);
        assertTrue(store().load("app#0").logLines().get(0).contains("format is 2, supported is 1"));
        Files.write(folder.resolve(SnapshotStore.snapshotFileName(1)), "not a snapshot at all".getBytes());
        assertTrue(store().load("app#0").logLines().get(0).contains("not a warm start file"));
    }

    @Test
    void missingOrTornDeltasMakeTheStateIncomplete() throws IOException {
        SnapshotStore store = store();
        save(store, 1);
        appendDelta(store, "a");
        appendDelta(store, "b");
        Path deltaFile = folder.resolve(SnapshotStore.deltaFileName(1));
        byte[] all = Files.readAllBytes(deltaFile);
        Files.write(deltaFile, Arrays.copyOf(all, all.length - 1));
        SnapshotStore.LoadedState torn = store().load("app#0");
        assertEquals(List.of("a"), endpointIds(torn));
        assertFalse(torn.isComplete());
        Files.delete(deltaFile);
        SnapshotStore.LoadedState none = store().load("app#0");
        assertNotNull(none.snapshot());
        assertFalse(none.isComplete());
    }

    @Test
    void deltaFileFillsUpUntilTheNextSnapshot() throws IOException {
        SnapshotStore store = SnapshotStore.at(folder, 200, false);
        save(store, 1);
        assertFalse(store.needsSnapshot());
        for (int i = 0; i < 9; i++) {
            appendDelta(store, "e" + i);
        }
        assertTrue(store.needsSnapshot());
        save(store, 2);
        assertFalse(store.needsSnapshot());
    }
}
