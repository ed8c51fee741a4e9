package loftflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the names of each protocol occur as literals in a single class. */
class ProtocolNamesTest {
    private static final Path SOURCES = Path.of("src/main/java/loftflow");
    private static final Pattern STRING_LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

    /** Covers only names that are not common words, so that each literal with one refers to the protocol. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "protocol/MessageHeaders.java | X-Call-Id X-Call-Class X-Caller X-Consignee X-Budget-Ms X-Come-Back-Ms X-Line-Busy"
                        + " X-Load-Report",
                "protocol/ClientProtocol.java | /-/ready dest=",
                "protocol/HostProtocol.java | /receive /receive-many /-/healthy /-/load used_up",
                "protocol/CompletionProtocol.java | bounced",
                "protocol/DiscoveryProtocol.java | /api/targets pod_group capacity_hint boot_ms in_service terminating terminated",
                "protocol/PlatformSettingsProtocol.java | family-info call-slots send-cap goal-time-s deadline-s dedup-window-s"
                        + " fifo-by-key batch-by-kind must-ask-in-s order-pause-s quota-rps over-share-worth weight-source",
                "simulator/SimulatorProtocol.java | job-in probe-done memo-to end-failed let-go list-all journal-line t-s LAME"
            })
    void protocolNameOccursInOneClassOnly(String owner, String names) throws IOException {
        String ownText = Files.readString(SOURCES.resolve(owner));
        for (String name : names.split(" ")) {
            assertTrue(containsName(ownText, name), owner + " must contain " + name);
            assertEquals(List.of(), filesContaining(owner, name), name + " occurs outside of " + owner);
        }
    }

    /** Verifies that the rule above detects a violation. */
    @Test
    void secondOccurrenceIsDetected() throws IOException {
        assertEquals(
                List.of("protocol/HostProtocol.java"),
                filesContaining("protocol/ClientProtocol.java", "/receive-many"));
    }

    private static List<String> filesContaining(String owner, String name) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java"))
                    .sorted()
                    .toList()) {
                String relative = SOURCES.relativize(file).toString();
                if (!relative.equals(owner) && containsName(Files.readString(file), name)) {
                    found.add(relative);
                }
            }
        }
        return found;
    }

    /** Returns whether a string literal of the source contains the name as a whole word. */
    private static boolean containsName(String source, String name) {
        Pattern word = Pattern.compile("(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])");
        Matcher literals = STRING_LITERAL.matcher(source);
        while (literals.find()) {
            if (word.matcher(literals.group(1)).find()) {
                return true;
            }
        }
        return false;
    }
}
