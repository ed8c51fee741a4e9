package loftflow.fake;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** A temporary folder, which is deleted with its content on {@link #close}. */
public record TemporaryFolder(Path folder) implements AutoCloseable {
    /** Creates a folder in the default temporary directory; {@code name} is the prefix of its name. */
    public static TemporaryFolder named(String name) throws IOException {
        return new TemporaryFolder(Files.createTempDirectory(name));
    }

    /** Creates a folder in a parent folder, which is created if it does not exist. */
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
