package loftflow.config;

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
import loftflow.config.file.Finding;
import loftflow.config.plan.MachineInspector;
import loftflow.config.tool.CheckedFile;
import loftflow.config.tool.ConfigTool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Files that each break one rule, whose first lines say what is to be found and how to correct it, and files that break
 * none.
 */
class BrokenAndValidFilesTest {
    private static final Path FILES = Path.of("src/test/resources/config");
    private static final Pattern HEAD = Pattern.compile(
            "# key: (.*)\n# reason: (.*)\n# mend: (\\d+) (\\d+)\n# between sections: (yes|no)\n(?s:.*)");

    private static List<Path> files(String folder) throws IOException {
        try (Stream<Path> files = Files.list(FILES.resolve(folder))) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }

    static List<Path> broken() throws IOException {
        return files("broken");
    }

    static List<Path> valid() throws IOException {
        return files("valid");
    }

    private static Matcher head(Path file) throws IOException {
        Matcher head = HEAD.matcher(Files.readString(file));
        assertTrue(head.matches(), file + " says what is to be found");
        return head;
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenFileIsReportedAndItsCorrectionAccepted(Path file) throws Exception {
        Matcher head = head(file);
        List<Finding> errors =
                ConfigTool.check(file).stream().filter(Finding::isError).toList();
        assertTrue(
                errors.stream()
                        .anyMatch(f -> f.key().equals(head.group(1))
                                && f.reason().contains(head.group(2))
                                && f.line() > 0
                                && f.column() > 0),
                "found: " + errors);
        assertTrue(errors.stream().allMatch(f -> f.toString().lines().count() == 1), "plain lines: " + errors);

        List<String> lines = new ArrayList<>(Files.readAllLines(file));
        int first = Integer.parseInt(head.group(3)) - 1;
        lines.subList(first, first + Integer.parseInt(head.group(4))).clear();
        lines.addAll(first, Files.readAllLines(Path.of(file.toString().replace(".toml", ".mend"))));
        CheckedFile twin = CheckedFile.of("twin", String.join("\n", lines), MachineInspector.UNKNOWN);
        assertTrue(twin.isClean(), "the twin: " + twin.findings());
    }

    @ParameterizedTest
    @MethodSource("valid")
    void validFileIsAccepted(Path file) throws Exception {
        List<Finding> findings = ConfigTool.check(file);
        assertTrue(findings.stream().noneMatch(Finding::isError), "found: " + findings);
        assertEquals(
                file.toString().contains("-warns") || file.toString().contains("scope-building"),
                !findings.isEmpty(),
                "warnings: " + findings);
    }

    @Test
    void thereAreFiftyFilesOfEachKindAndTenAcrossSections() throws IOException {
        assertTrue(broken().size() >= 50 && valid().size() >= 50);
        int between = 0;
        for (Path file : broken()) {
            between += head(file).group(5).equals("yes") ? 1 : 0;
        }
        assertTrue(between >= 10, "between sections: " + between);
    }
}
