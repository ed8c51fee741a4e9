package loftflow.stored;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import loftflow.recordfile.RecordFile;

/**
 * Files that an earlier build wrote, in {@code src/test/resources/stored}. They are never written again: a file that
 * tests can't read any more means that an upgrade would lose data. Tests read copies of them, as most stores repair or
 * rewrite their files when they open them.
 */
final class StoredData {
    private static final Path ROOT = Path.of("src/test/resources/stored");

    private StoredData() {}

    /** The file of that path below the root, not a copy. */
    static Path original(String path) {
        return ROOT.resolve(path);
    }

    /** Copies a folder below the root into a folder that is created below {@code parent}; the created one. */
    static Path copy(String name, Path parent) throws IOException {
        Path copy = Files.createDirectories(parent.resolve(name));
        for (String file : files(original(name))) {
            Files.copy(original(name).resolve(file), copy.resolve(file));
        }
        return copy;
    }

    /** Names of the files of a folder, sorted. */
    static List<String> files(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    /** Removes the last bytes of a file, as a process does that ends while it writes. */
    static void tear(Path file, int bytes) throws IOException {
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(whole, whole.length - bytes));
    }

    /** Appends a record whose length and checksum are right. */
    static void appendRecord(Path file, byte[] payload) throws IOException {
        byte[] record = new byte[RecordFile.HEADER_BYTES + payload.length];
        System.arraycopy(payload, 0, record, RecordFile.HEADER_BYTES, payload.length);
        Files.write(file, RecordFile.seal(record), StandardOpenOption.APPEND);
    }
}
