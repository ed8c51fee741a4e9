package loftflow.fake;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** A folder for a while, which is gone with all that it holds when its work is done. */
public record TemporaryFolder(Path folder) implements AutoCloseable {
    /** A new one among temporary files, with a name that begins so. */
    public static TemporaryFolder named(String name) throws IOException {
        return new TemporaryFolder(Files.createTempDirectory(name));
    }

    /** A new one in a folder, which is made where it is not there. */
    public static TemporaryFolder in(Path folder, String name) throws IOException {
        return new TemporaryFolder(Files.createTempDirectory(Files.createDirectories(folder), name));
    }

    @Override
    public void close() throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
