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

/** Files of what is remembered: a kill at each step, a full disk, torn, foreign and spoilt files. */
class SnapshotStoreTest {
    @TempDir
    Path folder;

    /** A disk that fails, or is cut off by a kill, at one step; a write that fails may have written a part. */
    private static final class Faulty implements SnapshotFolder {
        private final SnapshotFolder disk;
        private final SplittableRandom random;
        int steps;
        int failAt = Integer.MAX_VALUE;
        boolean killed;
        boolean full;

        Faulty(SnapshotFolder disk, long seed) {
            this.disk = disk;
            random = new SplittableRandom(seed);
        }

        private boolean fails() throws IOException {
            if (killed || full) {
                throw new IOException(killed ? "killed" : "No space left on device");
            }
            return steps++ == failAt;
        }

        private IOException kill() {
            killed = true;
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
        public void move(String from, String to) throws IOException {
            if (fails()) {
                if (random.nextBoolean()) {
                    disk.move(from, to);
                }
                throw kill();
            }
            disk.move(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }
    }

    private static Snapshot picture(long generation, String owner) {
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
        store.begin(generation);
        store.write(generation, SnapshotCodec.picture(picture(generation, "app#0")));
        store.end(true);
    }

    private static void note(SnapshotStore store, String id) throws IOException {
        store.note(SnapshotCodec.note(new SnapshotDelta(SnapshotDelta.Kind.GONE, id, 5)));
    }

    private static List<String> ids(SnapshotStore.Found found) {
        return found.notes().stream().map(SnapshotDelta::id).distinct().toList();
    }

    @Test
    void pictureAndNotesComeBackAsTheyWere() throws IOException {
        SnapshotStore store = store();
        assertNull(store.load("app#0").picture());
        assertTrue(store.isFull(), "there is nothing to note behind");
        save(store, 1);
        note(store, "x");
        SnapshotStore.Found found = store().load("app#0");
        assertEquals(picture(1, "app#0"), found.picture());
        assertEquals(List.of(new SnapshotDelta(SnapshotDelta.Kind.GONE, "x", 5)), found.notes());
        assertTrue(
                found.whole() && found.complaints().isEmpty(),
                found.complaints().toString());
    }

    /** Whatever the step at which the process is killed, the next start knows the newest promise. */
    @Test
    void killAtEachStepOfSavingLosesNoNoteAndNoPicture() throws IOException {
        int kills = 0;
        for (int step = 0; step < 40; step++) {
            for (int seed = 0; seed < 20; seed++) {
                Path here = folder.resolve(step + "-" + seed);
                Files.createDirectories(here);
                Faulty disk = new Faulty(SnapshotFolder.at(here), seed);
                disk.failAt = step;
                SnapshotStore store = new SnapshotStore(disk, 10_000, false);
                long stands = 0;
                int noted = 0;
                int notedBefore = 0;
                try {
                    for (long generation = 1; generation <= 3; generation++) {
                        store.begin(generation);
                        notedBefore = noted;
                        note(store, "n" + ++noted);
                        store.write(generation, SnapshotCodec.picture(picture(generation, "app#0")));
                        stands = generation;
                        store.end(true);
                        note(store, "n" + ++noted);
                    }
                } catch (IOException e) {
                    kills++;
                }
                SnapshotStore.Found found = new SnapshotStore(SnapshotFolder.at(here), 10_000, false).load("app#0");
                long generation = found.picture() == null ? 0 : found.picture().generation();
                assertTrue(generation == stands || generation == stands + 1, "picture " + generation + " of " + stands);
                int until = disk.killed ? noted - 1 : noted;
                int from = generation == 0 ? until + 1 : (int) (2 * generation - 1);
                for (int n = from; n <= until; n++) {
                    assertTrue(
                            ids(found).contains("n" + n) || !found.whole(),
                            "note " + n + " of " + ids(found) + " step " + step);
                    assertTrue(ids(found).contains("n" + n), "note " + n + " is lost");
                }
                assertTrue(notedBefore <= noted);
            }
        }
        assertTrue(kills > 200, "kills: " + kills);
    }

    @Test
    void fullDiskLeavesThePictureBefore() throws IOException {
        Faulty disk = new Faulty(SnapshotFolder.at(folder), 1);
        SnapshotStore store = new SnapshotStore(disk, 10_000, false);
        save(store, 1);
        disk.full = true;
        assertThrows(IOException.class, () -> store.begin(2));
        store.end(false);
        assertThrows(IOException.class, () -> note(store, "x"));
        disk.full = false;
        note(store, "y");
        assertEquals(List.of("y"), ids(store().load("app#0")));
        save(store, 2);
        assertEquals(2, store().load("app#0").picture().generation());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 8, 12, 16, 40, 100})
    void tornPictureIsSetAsideAndTheOneBeforeServesWithAllNotes(int length) throws IOException {
        SnapshotStore store = store();
        save(store, 1);
        note(store, "a");
        save(store, 2);
        note(store, "b");
        Path newest = folder.resolve(SnapshotStore.picture(2));
        Files.write(newest, Arrays.copyOf(Files.readAllBytes(newest), length));
        SnapshotStore.Found found = store().load("app#0");
        assertEquals(1, found.picture().generation());
        assertEquals(List.of("a", "b"), ids(found));
        assertTrue(found.whole());
        assertEquals(1, found.complaints().size());
        assertTrue(Files.exists(folder.resolve(SnapshotStore.picture(2) + ".bad")));
    }

    @Test
    void anySpoiltByteIsFound() throws IOException {
        byte[] whole = SnapshotCodec.picture(picture(1, "app#0"));
        for (int at = 0; at < whole.length; at++) {
            byte[] spoilt = whole.clone();
            spoilt[at] ^= 0x10;
            assertThrows(SnapshotCodec.UnreadableException.class, () -> SnapshotCodec.picture(spoilt), "byte " + at);
        }
        assertEquals(picture(1, "app#0"), SnapshotCodec.picture(whole));
    }

    @Test
    void anotherRelaysFileAndALaterFormatAreToldAndNotUsed() throws IOException {
        SnapshotStore store = store();
        store.begin(1);
        store.write(1, SnapshotCodec.picture(picture(1, "app#3")));
        store.end(true);
        SnapshotStore.Found foreign = store().load("app#0");
        assertNull(foreign.picture());
        assertTrue(
                foreign.complaints().get(0).contains("it is app#3's, and this relay is app#0"),
                foreign.complaints().toString());
        byte[] later = SnapshotCodec.picture(picture(1, "app#0"));
        later[SnapshotCodec.HEAD - 1]++;
        Files.write(folder.resolve(SnapshotStore.picture(1)), later);
        assertTrue(store().load("app#0").complaints().get(0).contains("its format is 2, and this relay reads 1"));
        Files.write(folder.resolve(SnapshotStore.picture(1)), "not a picture at all".getBytes());
        assertTrue(store().load("app#0").complaints().get(0).contains("no file of remembered endpoints"));
    }

    @Test
    void missingOrTornNotesAreDoubt() throws IOException {
        SnapshotStore store = store();
        save(store, 1);
        note(store, "a");
        note(store, "b");
        Path notes = folder.resolve(SnapshotStore.notes(1));
        byte[] all = Files.readAllBytes(notes);
        Files.write(notes, Arrays.copyOf(all, all.length - 1));
        SnapshotStore.Found torn = store().load("app#0");
        assertEquals(List.of("a"), ids(torn));
        assertFalse(torn.whole());
        Files.delete(notes);
        SnapshotStore.Found none = store().load("app#0");
        assertNotNull(none.picture());
        assertFalse(none.whole());
    }

    @Test
    void notesFillUpUntilTheNextPicture() throws IOException {
        SnapshotStore store = SnapshotStore.at(folder, 200, false);
        save(store, 1);
        assertFalse(store.isFull());
        for (int i = 0; i < 9; i++) {
            note(store, "e" + i);
        }
        assertTrue(store.isFull());
        save(store, 2);
        assertFalse(store.isFull());
    }
}
