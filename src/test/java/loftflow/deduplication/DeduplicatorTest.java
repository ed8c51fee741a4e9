package loftflow.deduplication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The deduplication window and the file that stores it. */
class DeduplicatorTest {
    private static final long WINDOW_MICROS = 1_000;

    @TempDir
    Path folder;

    private long nowMicros = 1_000_000;

    private DeduplicationFile open(int capacity) throws IOException {
        return new DeduplicationFile(folder, WINDOW_MICROS, capacity, () -> nowMicros);
    }

    @Test
    void idIsRetainedForItsWindowOnly() {
        DeduplicationWindow window = new DeduplicationWindow(WINDOW_MICROS, 2);
        window.add("a", 0);
        window.add("b", 500);
        assertTrue(window.contains("a", WINDOW_MICROS)
                && !window.contains("a", WINDOW_MICROS + 1)
                && window.contains("b", WINDOW_MICROS + 1));
        assertFalse(window.hasCapacity(WINDOW_MICROS), "the capacity is two");
        assertTrue(window.hasCapacity(WINDOW_MICROS + 1), "the id a has expired");
        assertTrue(window.contains("b", -9_000), "a clock that is set back evicts nothing");
    }

    @Test
    void addedIdsOutlastTheProcess() throws Exception {
        try (DeduplicationFile file = open(9)) {
            file.add("a");
            nowMicros += 600;
            file.add("b");
        }
        nowMicros += 500;
        try (DeduplicationFile file = open(9)) {
            assertFalse(file.contains("a"), "the window of a has passed");
            assertTrue(file.contains("b"));
        }
    }

    @Test
    void tornTailIsTruncatedAndIntactRecordsRemain() throws Exception {
        try (DeduplicationFile file = open(9)) {
            file.add("a");
            file.add("b");
        }
        Path path = folder.resolve("seen.log");
        byte[] intact = Files.readAllBytes(path);
        for (int cut = 0; cut < intact.length; cut++) {
            Files.write(path, Arrays.copyOf(intact, cut), StandardOpenOption.TRUNCATE_EXISTING);
            try (DeduplicationFile file = open(9)) {
                assertEquals(cut >= intact.length / 2, file.contains("a"), "cut at " + cut);
                assertFalse(file.contains("b"));
                file.add("c");
            }
            try (DeduplicationFile file = open(9)) {
                assertTrue(file.contains("c"), "a record appended after truncation is read");
            }
        }
        byte[] withFlippedBit = intact.clone();
        withFlippedBit[intact.length - 1] ^= 1;
        Files.write(path, withFlippedBit);
        try (DeduplicationFile file = open(9)) {
            assertTrue(file.contains("a") && !file.contains("b"));
        }
    }

    @Test
    void compactionBoundsTheFileAndRetainsTheWindow() throws Exception {
        Random random = new Random(5);
        Set<String> added = new HashSet<>();
        DeduplicationFile file = open(100_000);
        for (int i = 0; i < 20_000; i++) {
            nowMicros += random.nextInt(4);
            file.add("id-" + i);
            added.add("id-" + i);
            if (i % 5_000 == 4_999) {
                file.close();
                file = open(100_000);
            }
        }
        file.close();
        assertTrue(
                Files.size(folder.resolve("seen.log")) < 3_000 * 40,
                "the file is too large for about 700 retained ids");
        DeduplicationFile reopened = open(100_000);
        long knownIds = added.stream().filter(reopened::contains).count();
        assertTrue(knownIds > 400 && knownIds < 1_000, "ids within the window: " + knownIds);
        assertTrue(reopened.contains("id-19999") && !reopened.contains("id-1"));
        reopened.close();
    }

    @Test
    void fullDiskHasNoCapacityUntilACompactionSucceeds() throws Exception {
        Path fullDevice = Path.of("/dev/full");
        assumeTrue(Files.exists(fullDevice));
        Files.createSymbolicLink(folder.resolve("seen.log"), fullDevice);
        try (DeduplicationFile file = open(9)) {
            assertTrue(file.hasCapacity());
            file.add("a");
            assertTrue(file.contains("a"), "the id is retained in memory");
            // This call compacts into a new file, which replaces the failing one.
            assertTrue(file.hasCapacity());
        }
        try (DeduplicationFile file = open(9)) {
            assertTrue(file.contains("a"));
        }
    }
}
