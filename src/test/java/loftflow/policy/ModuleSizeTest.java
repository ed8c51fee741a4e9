package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Keeps each class of the policy small, with one rule each. */
class ModuleSizeTest {
    private static final Path POLICY_FOLDER = Path.of("src/main/java/loftflow/policy");
    private static final int MAX_LINES = 250;
    private static final int MAX_LINE_LENGTH = 120;

    @Test
    void everyFileStaysWithinTheMaximumSize() throws IOException {
        try (var files = Files.list(POLICY_FOLDER)) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java")).toList();
            assertTrue(sources.size() > 20, "files: " + sources);
            for (Path source : sources) {
                List<String> lines = Files.readAllLines(source);
                long nonBlankLines =
                        lines.stream().filter(line -> !line.isBlank()).count();
                assertTrue(nonBlankLines <= MAX_LINES, source + ": " + nonBlankLines + " lines");
                for (String line : lines) {
                    assertTrue(line.length() <= MAX_LINE_LENGTH, source + ": " + line);
                }
            }
        }
    }
}
