package loftflow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loftflow.experiment.ScenarioFiles;
import loftflow.json.JsonFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: exit codes, what it prints, and that nothing ends with a stack trace. */
class CommandsTest {
    private static final Path CONFIG = Path.of("src/test/resources/config");

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(Object... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        String[] texts = java.util.Arrays.stream(args).map(String::valueOf).toArray(String[]::new);
        int code = Commands.run(new PrintWriter(out), new PrintWriter(err), texts);
        assertFalse((out + "" + err).contains("\tat "), "no stack trace: " + err);
        return code;
    }

    @Test
    void checkExitsWithZeroOneOrTwo() throws IOException {
        assertEquals(0, run("config", "check", CONFIG.resolve("base.toml")));
        assertEquals("1 file: 0 errors, 0 warnings\n", out.toString());
        Path broken = CONFIG.resolve("broken/idle-beyond-partner.toml");
        assertEquals(1, run("config", "check", broken, CONFIG.resolve("base.toml")));
        assertTrue(out.toString().startsWith(broken + ":"), out.toString());
        assertTrue(out.toString().endsWith("2 files: 1 errors, 0 warnings\n"), out.toString());
        assertEquals(2, run("config", "check", folder.resolve("nosuch"), broken));
        assertTrue(err.toString().contains("does not exist") && out.toString().contains("calls.idle"));
        assertEquals(2, run("config", "check"));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @Test
    void traceCheckTellsWhatWouldBeSentAndWhatIsRejected() throws IOException {
        Path trace = Files.writeString(
                folder.resolve("t.csv"),
                "M1,2,j_1,1,Terminated,3,9,100,0.39\nM1,2,j_1,1,T,,9,1,0\n"
                        + "M2,2,j_2,1,Terminated,4,9,100,0.39\nM3,2,j_2,1,Terminated,2,9,100,0.39\n");
        assertEquals(1, run("trace", "check", trace, "--form", "alibaba-2018-batch-task"));
        assertEquals(
                List.of(
                        "4 rows read = 3 sent + 0 cut + 1 rejected",
                        "no time: 1 (lines 2), such as: M1,2,j_1,1,T,,9,1,0",
                        "from 2s to 4s of the trace's clock; at the most 1 in one second"),
                out.toString().lines().toList());
        assertEquals(
                1, run("trace", "check", trace, "--form", "alibaba-2018-batch-task", "--from", "3s", "--to", "4s"));
        assertTrue(out.toString().startsWith("4 rows read = 1 sent + 2 cut + 1 rejected"), out.toString());
        assertEquals(
                2,
                run("trace", "check", trace, "--form", "alibaba-2018-batch-task", "--window", "0s", "--late", "fail"));
        assertTrue(err.toString().contains("line 4 is 1000000 us behind"), err.toString());
        assertEquals(2, run("trace", "check", folder.resolve("none"), "--form", "azure-v1-vmtable"));
        assertEquals(2, run("trace", "check", trace, "--form", "csv"));
        assertTrue(err.toString().contains("csv is none of google-2011-task-events"), err.toString());
    }

    @Test
    void laboratoryPlaysComparesAndSearches() throws IOException {
        assertEquals(0, run("lab", "scenarios"));
        assertTrue(out.toString().contains("half-the-fleet-dies"), out.toString());
        assertEquals(
                0,
                run(
                        "lab",
                        "run",
                        "one-slow-building",
                        "--seeds",
                        2,
                        "--json",
                        folder.resolve("r.json"),
                        "--csv",
                        folder.resolve("r.csv"),
                        "--page",
                        folder.resolve("r.html")));
        assertTrue(out.toString().contains("one-slow-building, seed 2: service 0.9"), out.toString());
        assertTrue(out.toString().contains("no rule was broken"), out.toString());
        assertEquals(2, Files.readAllLines(folder.resolve("r.json")).size());
        assertEquals(3, Files.readAllLines(folder.resolve("r.csv")).size());
        assertEquals(0, run("lab", "run", "half-the-fleet-dies", "--follow", 3));
        assertTrue(
                out.toString().contains("most by relay 0") && out.toString().contains("refused without an attempt"),
                out.toString());
        assertTrue(out.toString().contains("message 3, status-update for partner"), out.toString());
        assertTrue(out.toString().contains("relay 3 sends it to e"), out.toString());
        assertEquals(2, run("lab", "run", "one-slow-building", "--follow", 1_000_000));
        assertTrue(err.toString().contains("--follow takes a message from 0 to "), err.toString());
        String page = Files.readString(folder.resolve("r.html"));
        assertTrue(page.contains("<svg") && page.endsWith("</html>\n") && !page.contains("http"), "a page by itself");
        Path small = Files.writeString(
                folder.resolve("small.toml"),
                ScenarioFiles.builtInText("quiet-day")
                        .replace("slots = 24", "slots = 2")
                        .replace("span = \"60s\"", "span = \"20s\""));
        assertEquals(
                1,
                run(
                        "lab",
                        "compare",
                        "quiet-day",
                        small,
                        "--seeds",
                        8,
                        "--folder",
                        folder.resolve("x"),
                        "--page",
                        folder.resolve("c.html")));
        String compared = Files.readString(folder.resolve("c.html"));
        assertTrue(
                compared.contains(">worse<") && compared.endsWith("</html>\n") && !compared.contains("http"), compared);
        assertTrue(out.toString().contains("pairs: worse") && out.toString().contains("A, seed 8"), out.toString());
        assertEquals(1, run("lab", "compare", "quiet-day", small, "--seeds", 8, "--folder", folder.resolve("x")));
        assertFalse(out.toString().contains("A, seed"), "finished runs are not made again");
        assertEquals(
                0,
                run(
                        "lab",
                        "sweep",
                        small,
                        "--factor",
                        "slots",
                        "--values",
                        "2,4",
                        "--seeds",
                        2,
                        "--folder",
                        folder.resolve("y")));
        assertTrue(out.toString().contains("too few runs"), out.toString());
        assertEquals(0, run("lab", "capacity", small, "--within", "0.3"));
        assertTrue(out.toString().contains("highest load that held"), out.toString());
        Path cases = Files.createDirectories(folder.resolve("kept"));
        Files.writeString(cases.resolve("late-3-small.toml"), Files.readString(small));
        assertEquals(0, run("lab", "cases", cases));
        assertTrue(out.toString().endsWith("0 of 1 cases break a rule\n"), out.toString());
        Files.writeString(cases.resolve("sometimes-3-small.toml"), Files.readString(small));
        assertEquals(2, run("lab", "cases", cases));
        assertTrue(
                err.toString().contains("sometimes-3-small.toml: a case's name is RULE-SEED-NAME.toml"),
                err.toString());
        Path broken = Files.writeString(folder.resolve("b.toml"), "format = 1\nname = \"b\"\nspan = \"0s\"\n");
        assertEquals(1, run("lab", "check", "quiet-day", broken));
        assertEquals(1, run("lab", "run", broken));
        assertEquals(2, run("lab", "run", "nosuch"));
        assertTrue(err.toString().contains("does not exist"), err.toString());
        assertEquals(
                2, run("lab", "minimize", small, "--seed", 1, "--rule", "TWICE", "--cases", folder.resolve("cases")));
        assertTrue(err.toString().contains("does not break TWICE"), err.toString());
        assertEquals(
                2, run("lab", "sweep", small, "--factor", "slots", "--values", "2", "--folder", folder.resolve("y")));
    }

    /** The same trace and seed say the same to the byte; every row is accounted for; a trace of bursts is one. */
    @Test
    void replayPlaysATraceAndAccountsForEveryRow() throws IOException {
        StringBuilder rows = new StringBuilder("when,who,what\n");
        for (int i = 0; i < 600; i++) {
            // Two hundred rows in one millisecond, and one that can't be read.
            rows.append(i == 7 ? "x" : i < 200 ? "5000" : Integer.toString(5_000 + (i - 200) * 25))
                    .append(",o")
                    .append(i % 7)
                    .append(",f")
                    .append(i % 40)
                    .append('\n');
        }
        Path trace = Files.writeString(folder.resolve("t.csv"), rows);
        Path map = Files.writeString(
                folder.resolve("map.toml"), "time = \"when\"\nunit = \"ms\"\nowner = \"who\"\nflow = \"what\"\n");
        Object[] call = {"replay", trace, "--map", map, "--scenario", "quiet-day", "--seed", 3, "--from", "5s"};
        assertEquals(1, run(call), err.toString());
        String first = out.toString();
        assertTrue(first.startsWith("601 rows read = 599 sent + 1 cut + 1 rejected"), first);
        assertTrue(first.contains("599 messages in 10.0 s") && first.contains("no rule was broken"), first);
        run(call);
        assertEquals(first, out.toString());
        assertEquals(1, run("replay", trace, "--map", map, "--scenario", "quiet-day", "--runs", 2));
        assertTrue(
                out.toString().contains("service in 2 runs: mean")
                        && out.toString().endsWith("0.00% apart\n"),
                out.toString());
        // An application's classes and tenants in place of the scenario's; one that no partner of the scenario takes is
        // named.
        String app =
                """
                format = 1
                name = "loader"
                [machine]
                memory = "512MiB"
                descriptors = 4096
                disk = "64MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [[class]]
                name = "manifest"
                repeat = "once"
                wanted = "2s"
                deadline = "9s"
                peak-rate = "40/s"
                to = ["%s"]
                [[kind]]
                name = "elevators"
                [[kind]]
                name = "ports"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "%s"
                response = "50ms"
                [[partner.endpoint]]
                id = "e1"
                address = "127.0.0.1:9"
                """;
        Path loader = Files.writeString(
                folder.resolve("app.toml"), app.formatted(folder.resolve("s"), "elevators", "elevators"));
        assertEquals(1, run("replay", trace, "--map", map, "--scenario", "quiet-day", "--app", loader), err.toString());
        assertTrue(out.toString().contains("manifest") && !out.toString().contains("settlement"), out.toString());
        Files.writeString(loader, app.formatted(folder.resolve("s"), "ports", "ports"));
        assertEquals(2, run("replay", trace, "--map", map, "--scenario", "quiet-day", "--app", loader));
        assertTrue(
                err.toString()
                        .contains("class manifest of loader goes to ports: quiet-day has no partners of that kind"),
                err.toString());
        assertEquals(2, run("replay", folder.resolve("none.csv"), "--map", map, "--scenario", "quiet-day"));
        assertTrue(err.toString().contains("does not exist"), err.toString());
        assertEquals(1, run("replay", trace, "--map", map, "--scenario", "quiet-day", "--from", "1h"));
        assertTrue(out.toString().contains("nothing is left to replay"), out.toString());
    }

    /** Chicago's clocks left out two to three o'clock on 10 March 2024, and showed one to two twice on 3 November. */
    @Test
    void mappingFileReadsAnyCsvAndTimesAsItsZonesClocksShowThem() throws IOException {
        Path map = Files.writeString(
                folder.resolve("map.toml"),
                """
                time = "when"
                unit = "text"
                pattern = "yyyy-MM-dd HH:mm"
                zone = "America/Chicago"
                begin = "2024-03-10 00:00"
                owner = "who"
                flow = "job"
                """);
        Path trace = Files.writeString(
                folder.resolve("t.csv"),
                "when,who,job\n2024-03-10 01:30,a,1\n2024-03-10 02:30,a,1\n"
                        + "2024-03-10 03:30,a,1\n2024-11-03 01:30,a,1\n2024-11-03 02:30,a,1\n2024-03-09 23:59,a,1\n10 March,a,1\n");
        assertEquals(1, run("trace", "check", trace, "--map", map));
        List<String> lines = out.toString().lines().toList();
        assertEquals("8 rows read = 4 sent + 1 cut + 3 rejected", lines.get(0));
        assertTrue(out.toString().contains("left out: 1 (lines 3), such as: 2024-03-10 02:30"), out.toString());
        assertTrue(out.toString().contains("a negative time: 1 (lines 7)"), out.toString());
        assertTrue(
                out.toString().contains("from 90m to 342870m"), "an hour is missing, and one is there twice: " + out);
        assertEquals(
                2,
                run(
                        "trace",
                        "check",
                        trace,
                        "--map",
                        Files.writeString(map, "time = \"x\"\nunit = \"s\"\nowner = \"who\"" + "\nflow = \"job\"\n")));
        assertTrue(err.toString().contains("no column x in when,who,job"), err.toString());
        assertEquals(
                2, run("trace", "check", trace, "--map", Files.writeString(map, "time = \"when\"\nunit = \"h\"\n")));
        assertTrue(err.toString().contains("map.toml:2:1: unit: h is none of us, ms, s, text"), err.toString());
        assertEquals(2, run("trace", "check", trace, "--map", Files.writeString(map, "tiem = \"when\"\n")));
        assertTrue(err.toString().contains("map.toml:1:1: tiem: is no key"), err.toString());
        assertEquals(2, run("trace", "check", trace));
    }

    @Test
    void traceMapWritesTheSameMessagesForTheSameSeed() throws IOException {
        Path trace = Files.writeString(
                folder.resolve("t.csv"), "M1,2,j_1,1,Terminated,3,9,100,0.39\nM2,4,j_2,1,Terminated,5,9,1,1\n");
        Path calls = folder.resolve("calls.csv");
        assertEquals(
                0,
                run(
                        "trace",
                        "map",
                        trace,
                        "--form",
                        "alibaba-2018-batch-task",
                        "--app",
                        CONFIG.resolve("base.toml"),
                        "--seed",
                        "7",
                        "--speed",
                        "2",
                        "--from",
                        "1s",
                        "-o",
                        calls));
        assertTrue(out.toString().startsWith("2 rows read = 2 sent + 0 cut + 0 rejected\nclasses {"), out.toString());
        List<String> lines = Files.readAllLines(calls);
        assertEquals("at_us,class,tenant,destination,key,size,budget_us,line", lines.get(0));
        assertTrue(lines.get(1).startsWith("1000000,") && lines.get(2).startsWith("2000000,"), lines.toString());
        assertEquals(
                0,
                run(
                        "trace",
                        "map",
                        trace,
                        "--form",
                        "alibaba-2018-batch-task",
                        "--app",
                        CONFIG.resolve("base.toml"),
                        "--seed",
                        "7",
                        "--speed",
                        "2",
                        "--from",
                        "1s",
                        "-o",
                        folder.resolve("again.csv")));
        assertEquals(lines, Files.readAllLines(folder.resolve("again.csv")));
        assertEquals(
                2,
                run(
                        "trace",
                        "map",
                        trace,
                        "--form",
                        "alibaba-2018-batch-task",
                        "--app",
                        CONFIG.resolve("broken/batch-zero.toml"),
                        "-o",
                        calls));
        assertTrue(err.toString().contains("batch"), err.toString());
        assertEquals(
                2,
                run(
                        "trace",
                        "map",
                        trace,
                        "--form",
                        "alibaba-2018-batch-task",
                        "--app",
                        CONFIG.resolve("base.toml"),
                        "--speed",
                        "0",
                        "-o",
                        calls));
        assertTrue(err.toString().contains("the speed must be above 0"), err.toString());
    }

    @Test
    void warningsCountWhereTheyAreToBeStrictlyTaken() {
        Path warns = CONFIG.resolve("valid/scope-building.toml");
        assertEquals(0, run("config", "check", warns));
        assertTrue(out.toString().contains(": warning: "), out.toString());
        assertEquals(1, run("config", "check", "--strict", warns));
    }

    @Test
    void findingsInJsonAreOneArrayForMachines() throws IOException {
        assertEquals(1, run("config", "check", "--format", "json", CONFIG.resolve("broken/unknown-key.toml")));
        try (JsonParser parser = new JsonFactory().createParser(out.toString())) {
            parser.nextToken();
            List<?> findings = (List<?>) JsonFields.read(parser);
            Map<?, ?> first = (Map<?, ?>) findings.stream()
                    .filter(f -> ((Map<?, ?>) f).get("key").equals("class[1].dedline"))
                    .findFirst()
                    .orElseThrow();
            assertEquals("error", first.get("severity"));
            assertTrue(first.get("line") instanceof Integer line && line > 0);
        }
    }

    @Test
    void writeShowsTheDifferenceAndWantsForce() throws IOException {
        Path base = CONFIG.resolve("base.toml");
        assertEquals(0, run("config", "write", base, "-o", folder));
        assertTrue(out.toString().contains("serve --config " + folder.resolve("grain-desk.relay.toml")));
        assertEquals(0, run("config", "write", base, "-o", folder));
        assertTrue(out.toString().startsWith("unchanged "));
        Path file = folder.resolve("grain-desk.relay.toml");
        Files.writeString(file, Files.readString(file).replace("attempts = 12", "attempts = 3"));
        assertEquals(1, run("config", "write", base, "-o", folder));
        assertTrue(out.toString().contains("-attempts = 3\n+attempts = 12"), out.toString());
        assertEquals(0, run("config", "write", base, "-o", folder, "--force"));
        assertEquals(1, run("config", "write", CONFIG.resolve("broken/wanted-beyond-deadline.toml"), "-o", folder));
        assertEquals(1, run("config", "write", file, "-o", folder), "a relay file is no application file");
        assertEquals(2, run("config", "write", base));
    }

    @Test
    void explainKnowsEveryKeyAndNamesTheNearest() {
        assertEquals(0, run("config", "explain", "class.deadline"));
        assertTrue(out.toString().contains("must be there"), out.toString());
        assertEquals(2, run("config", "explain", "class.dedline"));
        assertTrue(err.toString().contains("did you mean class[].deadline?"), err.toString());
    }

    @Test
    void helpAndCompletionCoverEveryCommand() {
        assertEquals(0, run("--help"));
        for (String command : List.of("serve", "simhost", "config", "demo", "generate-completion")) {
            assertTrue(out.toString().contains(command), command);
        }
        assertEquals(0, run("config", "check", "--help"));
        assertEquals(0, run("generate-completion"));
        assertTrue(out.toString().contains("_complete_loftflow"));
    }

    @Test
    void misuseEndsWithOneLine() {
        for (String[] args : new String[][] {
            {},
            {"nosuch"},
            {"config"},
            {"config", "nosuch"},
            {"serve", "x"},
            {"serve", "--config"},
            {"simhost", "x"},
            {"demo", "--seconds", "x"},
            {"config", "check", "--format", "xml", "x"}
        }) {
            assertEquals(2, run((Object[]) args), String.join(" ", args));
            assertEquals(1, err.toString().lines().count(), err.toString());
        }
    }

    @Test
    void demonstrationTellsWhatBecameOfEachClassAndLeavesNothingBehind() {
        assertEquals(0, run("demo", "--seconds", "4"), err.toString());
        String text = out.toString();
        for (String type : List.of("status-update", "car-order", "settlement")) {
            String[] row = text.lines()
                    .filter(l -> l.startsWith(type))
                    .findFirst()
                    .orElseThrow()
                    .split("\\s+");
            assertTrue(Integer.parseInt(row[1]) > 20 && Integer.parseInt(row[2]) > 0, text);
            assertEquals("0", row[5], "took effect twice: " + text);
            assertEquals("0", row[6], "have no end: " + text);
        }
        assertTrue(text.endsWith("nothing is left behind\n"), text);
        try (var files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            assertEquals(
                    0,
                    files.filter(f -> f.getFileName().toString().startsWith("loftflow-demo"))
                            .count());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
