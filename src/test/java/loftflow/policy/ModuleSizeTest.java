package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decisions stand in small modules, one rule each. */
class ModuleSizeTest {
    private static final Path POLICY = Path.of("src/main/java/loftflow/policy");
    private static final int MAX_LINES = 250;
    private static final int MAX_LINE_LENGTH = 120;

    @Test
    void moduleStaysWithinItsSize() throws IOException {
        try (var files = Files.list(POLICY)) {
            List<Path> modules =
                    files.filter(file -> file.toString().endsWith(".java")).toList();
            assertTrue(modules.size() > 20, "modules: " + modules);
            for (Path module : modules) {
                List<String> lines = Files.readAllLines(module);
                long counted = lines.stream().filter(line -> !line.isBlank()).count();
                assertTrue(counted <= MAX_LINES, module + ": " + counted + " lines");
                for (String line : lines) {
                    assertTrue(line.length() <= MAX_LINE_LENGTH, module + ": " + line);
                }
            }
        }
    }
}
