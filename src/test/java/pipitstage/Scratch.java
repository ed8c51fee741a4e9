package pipitstage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** A folder among temporary files, which is gone with all that it holds when its work is done. */
public record Scratch(Path folder) implements AutoCloseable {
    /** A new one, with a name that begins so. */
    public static Scratch named(String name) throws IOException {
        return new Scratch(Files.createTempDirectory(name));
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
