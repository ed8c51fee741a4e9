package loftflow.warmstart.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.IntStream;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What is saved and noted, within its budget, on a disk in memory that counts and can be full. */
class SnapshotWriterTest {
    private static final long SECOND = 1_000_000;
    private static final long RATE = 20_480;
    private static final long MIB = 1 << 20;
    /** An hour in seconds. */
    private static final long SPAN = 3_600;

    /** Files in memory. */
    private static final class Disk implements SnapshotFolder {
        final Map<String, byte[]> files = new HashMap<>();
        long written;
        boolean full;
        boolean moves = true;

        @Override
        public synchronized byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public synchronized void write(String name, byte[] bytes, boolean sync) throws IOException {
            files.put(name, new byte[0]);
            append(name, bytes);
        }

        @Override
        public synchronized void append(String name, byte[] bytes) throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
            byte[] before = files.get(name);
            byte[] after = java.util.Arrays.copyOf(before, before.length + bytes.length);
            System.arraycopy(bytes, 0, after, before.length, bytes.length);
            files.put(name, after);
            written += bytes.length;
        }

        @Override
        public synchronized void move(String from, String to) throws IOException {
            if (!moves) {
                throw new IOException("it can't be moved");
            }
            files.put(to, files.remove(from));
        }

        @Override
        public synchronized void delete(String name) {
            files.remove(name);
        }

        synchronized long size() {
            return files.values().stream().mapToLong(f -> f.length).sum();
        }
    }

    private final Disk disk = new Disk();
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private SnapshotWriter saver;
    private long generation;
    private int failures;

    @AfterEach
    void end() {
        saver.close();
    }

    private void begin(long limit, long rate) {
        saver = new SnapshotWriter(
                new SnapshotWriter.Options(null, limit, rate, false),
                new SnapshotStore(disk, limit / 50, false),
                loop::add);
        saver.load("app#0");
        saver.start(null, new ClockReading(0, 0, "b"), 0);
    }

    private Snapshot picture(int endpoints, long now) {
        return new Snapshot(
                "app#0",
                generation + 1,
                new ClockReading(now, now, "b"),
                now,
                1,
                IntStream.range(0, endpoints)
                        .mapToObj(i -> new KnownEndpoint(
                                new EndpointEntry("elevator-" + i, i, "elevators", "main", Availability.LISTED, 0),
                                "127.0.0.1:" + (1 + i % 60_000),
                                KnownEndpoint.State.LISTED,
                                i,
                                2 * i,
                                0,
                                0,
                                new RouteSnapshot("elevator-" + i, 0, 0, 1, 2, false, 0)))
                        .toList());
    }

    /** Saves, and waits for what becomes of it. */
    private boolean save(int endpoints, long now) throws InterruptedException {
        if (!begun(endpoints, now)) {
            return false;
        }
        loop.take().run();
        return true;
    }

    private boolean begun(int endpoints, long now) {
        boolean begun = saver.save(picture(endpoints, now), now, () -> {
            failures++;
            generation--;
        });
        generation += begun ? 1 : 0;
        return begun;
    }

    private SnapshotStore.Found found() {
        return new SnapshotStore(disk, MIB, false).load("app#0");
    }

    private static SnapshotDelta note(SnapshotDelta.Kind kind, int endpoint, long at) {
        return new SnapshotDelta(kind, "elevator-" + endpoint, at);
    }

    @Test
    void noteFollowsThePictureThatStandsAndTheOneThatIsOnItsWay() throws InterruptedException {
        begin(2 * MIB, RATE);
        saver.note(List.of(note(SnapshotDelta.Kind.GONE, 9, 0)), 0);
        assertEquals(0, disk.written, "nothing is remembered that a note could follow");
        assertTrue(save(3, 0));
        saver.note(List.of(note(SnapshotDelta.Kind.GONE, 1, 1)), 1);
        assertTrue(begun(3, SECOND));
        assertFalse(saver.isFree(SECOND), "one picture at a time");
        saver.note(List.of(note(SnapshotDelta.Kind.WAIT, 2, 5)), SECOND);
        loop.take().run();
        assertEquals(List.of(note(SnapshotDelta.Kind.WAIT, 2, 5)), found().notes());
        disk.files.remove(SnapshotStore.picture(2));
        assertEquals(
                List.of(
                        note(SnapshotDelta.Kind.GONE, 1, 1),
                        note(SnapshotDelta.Kind.WAIT, 2, 5),
                        note(SnapshotDelta.Kind.WAIT, 2, 5)),
                found().notes(),
                "the picture before has them all");
    }

    /** A picture that fails on its way takes nothing from the one that stands, nor from what was lost since that. */
    @Test
    void pictureThatFailsOnItsWayLeavesWhatWasLost() throws InterruptedException {
        begin(MIB, 1_024);
        assertTrue(save(2, 0));
        for (int i = 0; i < 3_000; i++) {
            saver.note(List.of(note(SnapshotDelta.Kind.GONE, i, 7)), SECOND);
        }
        assertTrue(saver.wantsPicture());
        disk.moves = false;
        assertTrue(save(2, 300 * SECOND));
        assertEquals(1, failures);
        assertTrue(saver.wantsPicture(), "what was lost since the picture that stands still is");
        assertTrue(found().notes().stream().anyMatch(n -> n.kind() == SnapshotDelta.Kind.LOST));
        assertEquals(1, found().picture().generation());
        disk.moves = true;
        assertTrue(save(2, 400 * SECOND));
        assertFalse(saver.wantsPicture());
        assertEquals(2, found().picture().generation());
    }

    /** An hour in which an eighth of 5,000 endpoints changes each second: the disk sees its part and no more. */
    @Test
    void anHourOfChurnWritesNoMoreThanItsBudgetAndDoubtsWhatItCouldNotWrite() throws InterruptedException {
        begin(4 * MIB, RATE);
        int lost = 0;
        long most = 0;
        for (long second = 0; second < SPAN; second++) {
            long now = second * SECOND;
            saver.look(now);
            save(5_000, now);
            List<SnapshotDelta> notes = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                notes.add(note(SnapshotDelta.Kind.GONE, (int) (second * 600 + i) % 5_000, now));
            }
            for (SnapshotDelta each : notes) {
                saver.note(List.of(each), now);
            }
            lost += second % 60 > 0
                    ? 0
                    : found().notes().stream().anyMatch(n -> n.kind() == SnapshotDelta.Kind.LOST) ? 1 : 0;
            most = Math.max(most, disk.size());
        }
        // Besides the rate a minute's worth at the start, a head for each picture's notes and one note of loss a
        // second.
        long allowed = RATE * (SPAN + 60) + SPAN * 60;
        assertTrue(disk.written <= allowed, disk.written + " of " + allowed);
        assertTrue(disk.written > allowed / 2, "it does write: " + disk.written);
        assertTrue(most < 4 * MIB, "on the disk: " + most);
        assertTrue(lost > 0, "what is not written is told");
        System.out.println("an hour of churn of 5,000 endpoints wrote " + disk.written + " bytes, " + most
                + " at once on the disk");
    }

    @Test
    void notesBeyondTheBudgetBecomeOneThatSaysSoUntilTheNextPicture() throws InterruptedException {
        begin(MIB, 1_024);
        assertTrue(save(2, 0));
        for (int i = 0; i < 5_000; i++) {
            saver.note(List.of(note(SnapshotDelta.Kind.WAIT, i, 7 + i)), SECOND);
        }
        SnapshotStore.Found found = found();
        for (int i = 2; i < 100; i++) {
            saver.look(i * SECOND);
        }
        long grown = disk.written;
        for (int i = 100; i < 200; i++) {
            saver.look(i * SECOND);
        }
        assertEquals(grown, disk.written, "what is noted is noted once");
        SnapshotDelta last = found.notes().get(found.notes().size() - 1);
        assertEquals(SnapshotDelta.Kind.LOST, last.kind());
        assertTrue(saver.wantsPicture());
        found = found();
        assertEquals(
                new SnapshotDelta(SnapshotDelta.Kind.LOST, "", 7 + 4_999),
                found.notes().get(found.notes().size() - 1),
                "the longest wait of all that could not be noted");
        assertTrue(save(2, 300 * SECOND));
        assertFalse(saver.wantsPicture());
        assertTrue(found().notes().isEmpty());
    }

    @Test
    void pictureThatIsTooLargeGoesWithoutWhatWasHeardOfLongestAgo() throws InterruptedException {
        begin(MIB, RATE);
        assertTrue(save(9_000, 0));
        Snapshot kept = found().picture();
        assertTrue(disk.files.get(SnapshotStore.picture(1)).length <= 0.3 * MIB);
        assertTrue(kept.endpoints().size() > 1_500, "kept: " + kept.endpoints().size());
        assertTrue(kept.endpoints().stream()
                .allMatch(k ->
                        k.listed().destination() >= 9_000 - kept.endpoints().size()));
    }

    @Test
    void fullDiskIsTriedAgainLessAndLessOften() throws InterruptedException {
        begin(MIB, RATE);
        assertTrue(save(2, 0));
        disk.full = true;
        int tries = 0;
        for (long now = SECOND; now < 120 * SECOND; now += SECOND) {
            if (saver.isFree(now)) {
                tries++;
                save(2, now);
            }
        }
        assertTrue(tries >= 6 && tries <= 9, "tries: " + tries);
        assertEquals(0, failures, "it was not even begun");
        assertEquals(1, found().picture().generation());
        disk.full = false;
        assertTrue(save(2, 300 * SECOND));
        assertEquals(generation, found().picture().generation());
    }
}
