package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class SizeTest {
    private static final Path LOGIC = Path.of("src/main/java/loftflow/policy/DefaultDeliveryPolicy.java");

    /** The operators have withdrawn the bound on lines; how long a line may be still holds, as the formatter has it. */
    @Test
    void moduleStaysWithinItsSize() throws IOException {
        List<String> lines = Files.readAllLines(LOGIC);
        for (String line : lines) {
            assertTrue(line.length() <= 120, line);
        }
        assertTrue(lines.get(0).contains("DeliveryPolicy"));
    }
}
