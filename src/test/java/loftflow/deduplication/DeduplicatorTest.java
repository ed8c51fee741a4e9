package loftflow.deduplication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DeduplicatorTest {
    private static final long SPAN = 1_000;

    @TempDir
    Path folder;

    private long now = 1_000_000;

    private DeduplicationFile open(int most) throws IOException {
        return new DeduplicationFile(folder, SPAN, most, () -> now);
    }

    @Test
    void idIsKnownForItsSpanAndNotBeyond() {
        DeduplicationWindow ids = new DeduplicationWindow(SPAN, 2);
        ids.add("a", 0);
        ids.add("b", 500);
        assertTrue(ids.contains("a", SPAN) && !ids.contains("a", SPAN + 1) && ids.contains("b", SPAN + 1));
        assertFalse(ids.hasRoom(SPAN), "two are all there may be");
        assertTrue(ids.hasRoom(SPAN + 1), "one is over");
        assertTrue(ids.contains("b", -9_000), "a clock that was set back forgets nothing");
    }

    @Test
    void whatWasAddedOutlastsTheProcess() throws Exception {
        try (DeduplicationFile seen = open(9)) {
            seen.add("a");
            now += 600;
            seen.add("b");
        }
        now += 500;
        try (DeduplicationFile seen = open(9)) {
            assertFalse(seen.contains("a"), "its span is over");
            assertTrue(seen.contains("b"));
        }
    }

    @Test
    void tornTailIsCutOffAndWhatIsWholeStays() throws Exception {
        try (DeduplicationFile seen = open(9)) {
            seen.add("a");
            seen.add("b");
        }
        Path file = folder.resolve("seen.log");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut), StandardOpenOption.TRUNCATE_EXISTING);
            try (DeduplicationFile seen = open(9)) {
                assertEquals(cut >= whole.length / 2, seen.contains("a"), "cut at " + cut);
                assertFalse(seen.contains("b"));
                seen.add("c");
            }
            try (DeduplicationFile seen = open(9)) {
                assertTrue(seen.contains("c"), "what comes behind a torn tail is kept");
            }
        }
        byte[] flipped = whole.clone();
        flipped[whole.length - 1] ^= 1;
        Files.write(file, flipped);
        try (DeduplicationFile seen = open(9)) {
            assertTrue(seen.contains("a") && !seen.contains("b"));
        }
    }

    @Test
    void fileStaysBoundedAndSaysTheSameAsTheMemory() throws Exception {
        Random random = new Random(5);
        Set<String> added = new HashSet<>();
        DeduplicationFile seen = open(100_000);
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(4);
            seen.add("id-" + i);
            added.add("id-" + i);
            if (i % 5_000 == 4_999) {
                seen.close();
                seen = open(100_000);
            }
        }
        seen.close();
        assertTrue(Files.size(folder.resolve("seen.log")) < 3_000 * 40, "some 700 ids are in their span");
        DeduplicationFile again = open(100_000);
        long known = added.stream().filter(again::contains).count();
        assertTrue(known > 400 && known < 1_000, "known: " + known);
        assertTrue(again.contains("id-19999") && !again.contains("id-1"));
        again.close();
    }

    @Test
    void diskThatFailsTakesNothingMoreOnAndRecovers() throws Exception {
        Path full = Path.of("/dev/full");
        org.junit.jupiter.api.Assumptions.assumeTrue(Files.exists(full));
        Files.createSymbolicLink(folder.resolve("seen.log"), full);
        try (DeduplicationFile seen = open(9)) {
            assertTrue(seen.hasRoom());
            seen.add("a");
            assertTrue(seen.contains("a"), "it is known as long as the process lasts");
            // The next look writes the file anew, beside the one that fails.
            assertTrue(seen.hasRoom());
        }
        try (DeduplicationFile seen = open(9)) {
            assertTrue(seen.contains("a"));
        }
    }
}
