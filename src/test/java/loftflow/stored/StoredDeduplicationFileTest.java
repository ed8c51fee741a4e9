package loftflow.stored;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import loftflow.deduplication.DeduplicationFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A file of accepted message ids that an earlier build left. */
class StoredDeduplicationFileTest {
    private static final String NAME = "seen.log";
    private static final long WINDOW_MICROS = 1_000;
    private static final int CAPACITY = 9;

    @TempDir
    Path folder;

    private long nowMicros = 1_000_700;

    private DeduplicationFile open(Path idFolder) throws IOException {
        return new DeduplicationFile(idFolder, WINDOW_MICROS, CAPACITY, () -> nowMicros);
    }

    private List<Boolean> contained(Path idFolder) throws IOException {
        try (DeduplicationFile ids = open(idFolder)) {
            assertTrue(ids.hasCapacity());
            return Stream.of("a", "b\u00e9", "c", "d").map(ids::contains).toList();
        }
    }

    @Test
    void idsOfTheEarlierBuildAreKnownForTheirWindow() throws IOException {
        Path copy = StoredData.copy("deduplication", folder);
        assertEquals(List.of(true, true, true, false), contained(copy));
        nowMicros = 1_001_000;
        assertEquals(List.of(true, true, true, false), contained(copy));
        nowMicros = 1_001_001;
        assertEquals(List.of(false, true, true, false), contained(copy));
        nowMicros = 1_001_601;
        assertEquals(List.of(false, false, true, false), contained(copy));
        assertEquals(53, Files.size(copy.resolve(NAME)));
    }

    @Test
    void sameIdsWriteTheBytesOfTheEarlierBuild() throws IOException {
        nowMicros = 1_000_000;
        try (DeduplicationFile ids = open(folder)) {
            ids.add("a");
            nowMicros += 600;
            ids.add("b\u00e9");
            nowMicros += 1;
            ids.add("c");
        }
        assertArrayEquals(
                Files.readAllBytes(StoredData.original("deduplication").resolve(NAME)),
                Files.readAllBytes(folder.resolve(NAME)));
    }

    @Test
    void tornTailLosesItsRecordAlone() throws IOException {
        Path copy = StoredData.copy("deduplication", folder);
        StoredData.tear(copy.resolve(NAME), 1);
        assertEquals(List.of(true, true, false, false), contained(copy));
        assertEquals(36, Files.size(copy.resolve(NAME)));
    }

    /** A record that is too short to hold a time and an id ends the file: it and all behind it are removed. */
    @Test
    void unknownRecordEndsTheFile() throws IOException {
        Path copy = StoredData.copy("deduplication", folder);
        Path file = copy.resolve(NAME);
        StoredData.appendRecord(file, new byte[3]);
        byte[] ofD = ByteBuffer.allocate(Long.BYTES + 1)
                .putLong(1_000_700)
                .put((byte) 'd')
                .array();
        StoredData.appendRecord(file, ofD);
        assertEquals(List.of(true, true, true, false), contained(copy));
        assertEquals(53, Files.size(file));
        assertFalse(Files.exists(copy.resolve("seen.new")));
    }
}
