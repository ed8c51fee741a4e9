package loftflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.config.plan.MachineInspector;
import loftflow.config.schema.Catalog;
import loftflow.config.schema.Schema;
import loftflow.config.schema.Setting;
import loftflow.config.tool.CheckedFile;
import loftflow.config.tool.ConfigTool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The configuration tool: unreadable files, checks against the machine it runs on, and the files that it writes. */
class ConfigToolTest {
    private static final Path BASE = Path.of("src/test/resources/config/base.toml");

    @TempDir
    Path folder;

    private static String base() throws IOException {
        return Files.readString(BASE);
    }

    private Path file(byte[] bytes) throws IOException {
        return Files.write(folder.resolve("odd.toml"), bytes);
    }

    private void assertUnreadable(Path file, String why) {
        assertTimeout(Duration.ofSeconds(10), () -> {
            String message = assertThrows(SourceFile.UnreadableException.class, () -> ConfigTool.check(file))
                    .getMessage();
            assertTrue(message.startsWith(file + ": " + why), message);
            assertEquals(1, message.lines().count(), message);
        });
    }

    private static List<Finding> check(String text, MachineInspector surroundings) {
        return CheckedFile.of("app.toml", text, surroundings).findings();
    }

    private static MachineInspector machine(String temporary, String fault) {
        return new MachineInspector() {
            @Override
            public Optional<String> temporary() {
                return Optional.ofNullable(temporary);
            }

            @Override
            public Optional<String> fault(String path) {
                return Optional.ofNullable(fault);
            }

            @Override
            public Optional<String> unreadable(String file) {
                return Optional.empty();
            }
        };
    }

    @Test
    void fileThatIsNotUtf8() throws IOException {
        assertUnreadable(file(new byte[] {'n', '=', '"', (byte) 0xff, (byte) 0xfe, '"'}), "is not UTF-8");
    }

    @Test
    void fileWithAByteOrderMark() throws IOException {
        assertUnreadable(file(("\uFEFF" + base()).getBytes(StandardCharsets.UTF_8)), "begins with a byte-order mark");
    }

    @Test
    void fileWithNulBytes() throws IOException {
        assertUnreadable(file("name = \"a\0b\"".getBytes(StandardCharsets.UTF_8)), "holds NUL bytes");
    }

    @Test
    void emptyFile() throws IOException {
        assertUnreadable(file(new byte[0]), "is empty");
        assertUnreadable(file("\n \n".getBytes(StandardCharsets.UTF_8)), "is empty");
    }

    @Test
    void fileOfTenMegabytes() throws IOException {
        assertUnreadable(file(("# " + "x".repeat(10 << 20)).getBytes(StandardCharsets.UTF_8)), "is larger than 1 MiB");
    }

    @Test
    void folderInsteadOfAFile() {
        assertUnreadable(folder, "is a folder");
    }

    @Test
    void fileThatDoesNotExist() {
        assertUnreadable(folder.resolve("nosuch.toml"), "does not exist");
    }

    @Test
    void pipeThatNobodyWrites() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        assertUnreadable(pipe, "is no regular file");
    }

    @Test
    void syntaxErrorIsReportedInPlainLines() throws Exception {
        for (String text : List.of(
                "=",
                "[",
                "[[a]",
                "a = ",
                "a = \"",
                "a = 1979-05-27",
                "a = [1, ",
                "\"\" = 1",
                "a.b = 1\na = 2",
                "[a]\n[a]\n",
                "a = { b = 1",
                "format = 1e400",
                "\u0007")) {
            List<Finding> findings = ConfigTool.check(file(text.getBytes(StandardCharsets.UTF_8)));
            assertFalse(findings.isEmpty(), text);
            assertTrue(findings.stream().allMatch(f -> f.toString().lines().count() == 1), findings.toString());
        }
    }

    @Test
    void deepNestingIsReportedInPlainLines() throws Exception {
        String text = "a = " + "[".repeat(2_000) + "]".repeat(2_000);
        assertTimeout(Duration.ofSeconds(20), () -> {
            try {
                assertFalse(ConfigTool.check(file(text.getBytes(StandardCharsets.UTF_8)))
                        .isEmpty());
            } catch (SourceFile.UnreadableException e) {
                assertEquals(1, e.getMessage().lines().count());
            }
        });
    }

    @Test
    void allFindingsAreReportedAtOnce() throws IOException {
        List<Finding> findings = check(
                base().replace("deadline = \"5s\"", "deadline = \"1s\"")
                        .replace("relays = 3", "relays = 1")
                        .replace("id = \"iron-2\"", "id = \"iron-1\""),
                MachineInspector.UNKNOWN);
        assertEquals(
                List.of("fleet.number", "class[1].wanted", "partner[1].endpoint[2].id"),
                findings.stream().map(Finding::key).toList());
    }

    @Test
    void findingNamesLocationKeyAndBothValues() throws IOException {
        Finding finding = check(base().replace("wanted = \"1.5s\"", "wanted = \"7s\""), MachineInspector.UNKNOWN)
                .get(0);
        assertEquals(
                "app.toml:36:1: class[1].wanted: 7s is no shorter than deadline = 5s; make it shorter",
                finding.toString());
    }

    @Test
    void folderInsideTmpdirIsAnError() throws IOException {
        for (String inside : List.of("/var", "/var/lib/loftflow/grain-desk", "/var/lib/../lib//loftflow/")) {
            List<Finding> findings = check(base(), machine(inside, null));
            assertEquals(
                    List.of("machine.folder"),
                    findings.stream().map(Finding::key).toList(),
                    inside);
            assertTrue(findings.get(0).reason().contains("$TMPDIR"), findings.toString());
        }
        assertEquals(List.of(), check(base(), machine("/var/lib/loftflow/grain", null)));
    }

    @Test
    void folderThatCannotBeWrittenIsAnError() throws IOException {
        Finding finding =
                check(base(), machine(null, "can't be written by this user")).get(0);
        assertEquals("machine.folder", finding.key());
        Path taken = Files.writeString(folder.resolve("taken"), "");
        String text = base().replace("/var/lib/loftflow/grain-desk", taken.toString());
        List<Finding> findings =
                CheckedFile.of("a", text, MachineInspector.UNKNOWN).findings();
        assertEquals(List.of(), findings);
        Path odd = Files.writeString(folder.resolve("odd.toml"), text);
        try {
            assertTrue(ConfigTool.check(odd).stream()
                    .anyMatch(f ->
                            f.key().equals("machine.folder") && f.reason().contains("is no folder on this machine")));
        } catch (SourceFile.UnreadableException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void onlySomePartnersTooSlowIsAWarningThatNamesThem() throws IOException {
        List<Finding> findings = check(
                base().replace("response = \"370ms\"", "response = \"21s\"")
                        .replace("descriptors = 512", "descriptors = 9000"),
                MachineInspector.UNKNOWN);
        Finding finding = findings.stream()
                .filter(f -> f.key().equals("class[3].deadline"))
                .findFirst()
                .orElseThrow();
        assertFalse(finding.isError());
        assertTrue(finding.reason().contains("too short for 1 of 2 partners (copper-line)"), finding.reason());
    }

    @Test
    void tenantsSharesBelowThePeakAreAWarning() throws IOException {
        List<Finding> findings = check(base().replace("rate = \"30/s\"", "rate = \"20/s\""), MachineInspector.UNKNOWN);
        assertEquals(
                List.of("tenant[1].rate"), findings.stream().map(Finding::key).toList());
        assertFalse(findings.get(0).isError());
        assertTrue(
                findings.get(0).reason().contains("together have 35/s")
                        && findings.get(0).reason().contains("43/s"),
                findings.toString());
    }

    @Test
    void keysThatDoNotCrossBuildingsAreAWarning() throws IOException {
        List<Finding> findings = check(
                base().replace("key-window = \"7.5s\"", "key-window = \"7.5s\"\nkey-scope = \"building\""),
                MachineInspector.UNKNOWN);
        assertEquals(1, findings.size(), findings.toString());
        assertFalse(findings.get(0).isError());
        assertTrue(findings.get(0).reason().contains("iron-line stands in 2 buildings (main-building, annex)"));
    }

    @Test
    void platformFileIsReportedWithTheSameErrorsAsByServe() throws Exception {
        String json = Files.readString(Path.of("deploy/training.json"));
        Path file = folder.resolve("config.json");
        Files.writeString(file, json);
        assertEquals(List.of(), ConfigTool.check(file));

        Files.writeString(file, json.replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"nosuch.example:1\""));
        assertEquals(
                "not a numeric address with a port: nosuch.example:1",
                ConfigTool.check(file).get(0).reason());
        assertTrue(ConfigTool.check(file).get(0).isError());

        Files.writeString(file, json.replace("\"sockets\": 256", "\"sockets\": 20"));
        assertEquals("limits.sockets", ConfigTool.check(file).get(0).key());

        Files.writeString(file, json.replace("\"sockets\": 256", "\"sockets\": 40"));
        assertTrue(
                ConfigTool.check(file).get(0).toString().contains(":2:"),
                ConfigTool.check(file).toString());
        assertFalse(ConfigTool.check(file).get(0).isError());

        Files.writeString(file, json.replace("\"seed\": \"0\"", "\"seed\": \"0\", \"name\": \"again\""));
        assertEquals("name", ConfigTool.check(file).get(0).key());

        Files.writeString(file, json.substring(0, json.length() / 2));
        assertTrue(ConfigTool.check(file).get(0).reason().startsWith("no JSON: "));
    }

    private ConfigTool.Outcome write(boolean force) throws Exception {
        return ConfigTool.write(BASE, folder, force);
    }

    @Test
    void writingTwiceChangesNoByte() throws Exception {
        assertEquals(ConfigTool.Written.NEW, write(false).written());
        byte[] first = Files.readAllBytes(folder.resolve("grain-desk.relay.toml"));
        assertEquals(ConfigTool.Written.UNCHANGED, write(false).written());
        assertEquals(
                new String(first, StandardCharsets.UTF_8), Files.readString(folder.resolve("grain-desk.relay.toml")));
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count(), "nothing half written stays");
        }
    }

    @Test
    void fileChangedByHandIsLeftAloneWithoutForce() throws Exception {
        write(false);
        Path file = folder.resolve("grain-desk.relay.toml");
        String edited = Files.readString(file).replace("attempts = 12", "attempts = 3");
        Files.writeString(file, edited);
        ConfigTool.Outcome outcome = write(false);
        assertEquals(ConfigTool.Written.TOUCHED, outcome.written());
        assertEquals(edited, outcome.before());
        assertEquals(edited, Files.readString(file));
        assertEquals(ConfigTool.Written.NEW, write(true).written());
        assertTrue(Files.readString(file).contains("attempts = 12"));
    }

    @Test
    void unmodifiedFileIsRewrittenFromTheApplicationFile() throws Exception {
        write(false);
        Path changed = Files.writeString(folder.resolve("app.toml"), base().replace("\"18/s\"", "\"9/s\""));
        assertEquals(
                ConfigTool.Written.NEW, ConfigTool.write(changed, folder, false).written());
        assertTrue(Files.readString(folder.resolve("grain-desk.relay.toml")).contains("peak-rate = \"9/s\""));
    }

    @Test
    void nothingIsWrittenForAFileWithErrors() throws Exception {
        Path bad = Files.writeString(folder.resolve("app.toml"), base().replace("\"1.5s\"", "\"9s\""));
        ConfigTool.Outcome outcome = ConfigTool.write(bad, folder.resolve("out"), true);
        assertEquals(ConfigTool.Written.REFUSED, outcome.written());
        assertFalse(Files.exists(folder.resolve("out")));
    }

    @Test
    void referencePageMatchesTheSchema() throws IOException {
        assertEquals(
                Schema.RELAY.reference(),
                Files.readString(Path.of("docs/operators/settings.md")),
                "run: java -jar target/loftflow.jar config reference > docs/operators/settings.md");
        for (Setting setting : Schema.RELAY.all()) {
            assertTrue(Catalog.explanation(setting).contains(setting.text()));
            assertEquals(setting, Schema.RELAY.of(setting.key()).orElseThrow());
        }
    }

    @Test
    void misspeltKeyIsReportedWithTheNearestKey() {
        assertEquals(Optional.of("class[].deadline"), Schema.RELAY.nearest("class[2].daedline", false));
        assertEquals(Optional.of("class[].deadline"), Schema.RELAY.nearest("class.deadlin", false));
        assertEquals(Optional.empty(), Schema.RELAY.nearest("zzzzzzzzzzzz", true));
        assertEquals(Optional.empty(), Schema.RELAY.nearest("buffer.messags", false));
    }
}
