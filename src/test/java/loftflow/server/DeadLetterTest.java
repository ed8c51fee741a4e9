package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.admin.AdminClient;
import loftflow.cli.Main;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakePartner;
import loftflow.fake.FakePartner.Behavior;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests dead letters in a relay process, with an upstream that records every call. */
@Order(1)
class DeadLetterTest {
    @TempDir
    Path folder;

    private FakePartner partner;
    private ServedRelay relay;
    private int startCount;

    @BeforeEach
    void prepare() throws IOException {
        partner = new FakePartner(5, 0);
    }

    @AfterEach
    void end() throws Exception {
        if (relay != null) {
            relay.close();
        }
        partner.close();
    }

    private Path stateFolder() {
        return folder.resolve("state");
    }

    private Path writeRelayFile(String deadLetterSettings) throws Exception {
        Path file = Files.writeString(
                folder.resolve("app.toml"),
                """
                format = 1
                name = "app"
                [machine]
                memory = "128MiB"
                descriptors = 128
                disk = "16MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [undeliverable]
                keep = true
                pace = "20/s"
                limit = "4MiB"
                %s
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "500ms"
                deadline = "3s"
                peak-rate = "20/s"
                [[class]]
                name = "car-order"
                repeat = "by-key"
                key-window = "2s"
                wanted = "500ms"
                deadline = "3s"
                peak-rate = "20/s"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "elevators"
                response = "20ms"
                [[partner.endpoint]]
                id = "elevator-1"
                address = "%s"
                """
                        .formatted(stateFolder(), deadLetterSettings, partner.address()));
        ConfigTool.Outcome outcome = ConfigTool.write(file, folder, false);
        assertEquals(
                ConfigTool.Written.NEW, outcome.written(), outcome.findings().toString());
        return outcome.file();
    }

    private void start(Path file) throws Exception {
        relay = ServedRelay.start(file, folder.resolve("log" + startCount++), "-Xmx48m")
                .awaitServing();
    }

    private String log() {
        try {
            return relay.log();
        } catch (IOException e) {
            return "";
        }
    }

    /** Submits a message and repeats it while it is rejected: a relay that starts with little CPU rejects messages. */
    private int submit(String id, String type) throws IOException {
        int[] status = new int[1];
        await(() -> {
            try {
                status[0] = submitOnce(id, type);
                return status[0] != 503;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return status[0];
    }

    private int submitOnce(String id, String type) throws IOException {
        try (FakeClient client = relay.client()) {
            return client.handIn(id, type, null, "key-" + id, 7, 3000, "body of " + id);
        }
    }

    private List<String> sendCommand(String... members) {
        Map<String, String> request = new LinkedHashMap<>();
        for (int i = 0; i < members.length; i += 2) {
            request.put(members[i], members[i + 1]);
        }
        List<String> lines = new ArrayList<>();
        try {
            assertTrue(AdminClient.request(stateFolder(), request, lines::add), "the admin socket accepts connections");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return lines;
    }

    /** Returns true if the list has a dead letter whose line contains all the given texts. */
    private boolean isListed(String... texts) {
        return sendCommand("command", "list").stream()
                .anyMatch(line -> List.of(texts).stream().allMatch(line::contains));
    }

    private String entryId(String messageId) {
        Matcher id = Pattern.compile("\"id\":(\\d+),\"ref\":\"" + messageId + "\"")
                .matcher(String.join("\n", sendCommand("command", "list")));
        assertTrue(id.find(), messageId);
        return id.group(1);
    }

    @Test
    void settlementWithUnknownOutcomeIsStoredAndNotRedrivenAutomatically() throws Exception {
        start(writeRelayFile(""));
        partner.setBehavior(Behavior.RESET);
        assertEquals(202, submit("s1", "settlement"));
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"kept\"", "\"ran\":\"maybe\"", "after a person's word"));
        partner.setBehavior(Behavior.NORMAL);
        assertEquals(202, submit("s2", "settlement"));
        await(() -> partner.effects().containsKey("s2"));
        String redriveResult = sendCommand("command", "resend", "id", entryId("s1"), "by", "clerk")
                .get(0);
        assertTrue(
                redriveResult.contains("after a person's word: an attempt may have run")
                        && redriveResult.contains("\"done\":false"),
                redriveResult);
        assertEquals(
                1, partner.postings().stream().filter(p -> p.id().equals("s1")).count());
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(stateFolder().resolve("admin.sock"))));
    }

    @Test
    void lateResponseProvesAStoredDeadLetterDelivered() throws Exception {
        start(writeRelayFile(""));
        partner.lateBy(7_000);
        assertEquals(202, submit("s1", "settlement"));
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"kept\"", "\"ran\":\"maybe\""));
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"delivered\"", "\"ran\":\"did\"", "a late answer"));
        assertTrue(sendCommand("command", "confirm", "id", entryId("s1"), "by", "clerk", "reason", "none")
                .get(0)
                .contains("proven to be delivered"));
        assertEquals(1, partner.effects().get("s1"));
    }

    @Test
    void lateResponseEndsAPendingManualRedrive() throws Exception {
        start(writeRelayFile(""));
        partner.lateBy(9_000);
        assertEquals(202, submit("s1", "settlement"));
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"kept\"", "\"ran\":\"maybe\""));
        // The upstream rejects all calls, so that the redrive is still pending and not executed when the proof arrives.
        partner.setBehavior(Behavior.UNAVAILABLE);
        sendCommand("command", "confirm", "id", entryId("s1"), "by", "clerk", "reason", "says the partner");
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"delivered\"", "a late answer"));
        partner.setBehavior(Behavior.NORMAL);
        assertEquals(202, submit("s2", "settlement"));
        await(() -> partner.effects().containsKey("s2"));
        assertEquals(1, partner.effects().get("s1"));
    }

    @Test
    void messagesThatWereNotExecutedAreRedrivenOnceTheUpstreamRecovers() throws Exception {
        start(writeRelayFile(""));
        partner.setBehavior(Behavior.UNAVAILABLE);
        for (int i = 0; i < 5; i++) {
            assertEquals(202, submit("s" + i, "settlement"));
        }
        await(() -> sendCommand("command", "list").size() == 5);
        await(() -> isListed("\"ran\":\"never\"", "\"told\":\"failed\""));
        partner.setBehavior(Behavior.NORMAL);
        await(() -> partner.effects().size() == 5);
        await(() -> sendCommand("command", "list", "state", "delivered").size() == 5);
        assertTrue(
                partner.effects().values().stream().allMatch(n -> n == 1),
                partner.effects().toString());
    }

    @Test
    void keyedMessageWhoseKeyWindowIsOverNeedsAConfirmation() throws Exception {
        start(writeRelayFile("pause = \"3s\""));
        partner.setBehavior(Behavior.RESET);
        assertEquals(202, submit("c1", "car-order"));
        await(() -> isListed(
                "\"ref\":\"c1\"", "after a person's word: an attempt may have run, and its key window is over"));
        int postingsBefore = partner.postings().size();
        partner.setBehavior(Behavior.NORMAL);
        String redriveResult = sendCommand("command", "resend", "id", entryId("c1"), "by", "clerk")
                .get(0);
        assertTrue(redriveResult.contains("\"done\":false"), redriveResult);
        assertEquals(postingsBefore, partner.postings().size());
        sendCommand("command", "confirm", "id", entryId("c1"), "by", "clerk", "reason", "not in their books");
        await(() -> isListed("\"ref\":\"c1\"", "\"state\":\"delivered\""));
        assertEquals(postingsBefore + 1, partner.postings().size());
    }

    @Test
    void confirmationsAndRedrivesAreAuditedAndRepeatedRedrivesSendOnce() throws Exception {
        start(writeRelayFile(""));
        partner.setBehavior(Behavior.RESET);
        assertEquals(202, submit("s1", "settlement"));
        await(() -> isListed("\"ref\":\"s1\"", "\"ran\":\"maybe\""));
        partner.setBehavior(Behavior.NORMAL);
        String id = entryId("s1");
        sendCommand("command", "confirm", "id", id, "by", "clerk", "reason", "not in their books");
        sendCommand("command", "resend", "id", id, "by", "clerk");
        sendCommand("command", "resend", "id", id, "by", "other");
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"delivered\""));
        assertEquals(
                2,
                partner.postings().stream().filter(p -> p.id().equals("s1")).count(),
                "the first attempt and one redrive");
        String shown = sendCommand("command", "show", "id", id).get(0);
        assertTrue(shown.contains("clerk confirm not posted: not in their books"), shown);
        assertFalse(shown.contains("\"body\""), "the body is omitted unless requested");
        assertTrue(sendCommand("command", "show", "id", id, "body", "yes")
                .get(0)
                .contains("\"body\":\"Ym9keSBvZiBzMQ==\""));
        assertTrue(sendCommand("command", "discard", "id", id, "by", "clerk", "reason", "over")
                .get(0)
                .contains("\"done\":false"));
        assertTrue(sendCommand("command", "confirm", "id", id, "by", "clerk")
                .get(0)
                .contains("--reason"));
        assertTrue(sendCommand("command", "nosuch").get(0).contains("unknown command"));
    }

    @Test
    void killsAtRandomTimesNeitherLoseNorDuplicateMessages() throws Exception {
        Path file = writeRelayFile("");
        Random random = new Random(7);
        Behavior[] behaviors = {Behavior.UNAVAILABLE, Behavior.RESET, Behavior.NORMAL, Behavior.UNAVAILABLE};
        List<String> accepted = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            partner.setBehavior(behaviors[round]);
            start(file);
            for (int i = 0; i < 6; i++) {
                String id = "s" + round + "-" + i;
                if (submit(id, "settlement") == 202) {
                    accepted.add(id);
                }
            }
            Thread.sleep(300 + random.nextInt(4_000));
            relay.close();
        }
        partner.setBehavior(Behavior.NORMAL);
        start(file);
        await(() -> accepted.stream()
                .allMatch(id -> partner.effects().containsKey(id)
                        || isListed("\"ref\":\"" + id + "\"", "\"state\":\"kept\"", "\"ran\":\"maybe\"")));
        partner.effects().forEach((id, times) -> assertEquals(1, times, id));
        assertTrue(accepted.size() >= 20, "accepted: " + accepted.size());
    }

    @Test
    void commandReadsTheStoreOfAStoppedRelay() throws Exception {
        start(writeRelayFile(""));
        partner.setBehavior(Behavior.RESET);
        assertEquals(202, submit("s1", "settlement"));
        await(() -> isListed("\"ref\":\"s1\"", "\"state\":\"kept\""));
        relay.close();
        assertEquals(0, runCommand("list"));
        assertTrue(Files.readString(folder.resolve("out")).contains("settlement"));
        assertEquals(0, runCommand("show", "1"));
        assertEquals(0, runCommand("stats"));
        assertEquals(2, runCommand("discard", "1", "--by", "clerk", "--reason", "x"), "discard needs a running relay");
        assertEquals(2, runCommand("show", "99"));
        assertEquals(2, runCommand("resend", "--by", "clerk"), "redrive needs a selection");
    }

    /** Runs a dead-letter command in a process of its own and returns its exit code. */
    private int runCommand(String... words) throws Exception {
        List<String> commandLine = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "undeliverable",
                words[0],
                "--folder",
                stateFolder().toString()));
        commandLine.addAll(List.of(words).subList(1, words.length));
        Process process = new ProcessBuilder(commandLine)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        int code = process.waitFor();
        String out = Files.readString(folder.resolve("out"));
        assertFalse(out.contains("\tat "), out);
        return code;
    }

    @Test
    void fullStoreIsLoggedAndNewMessagesAreRejected() throws Exception {
        start(writeRelayFile("entries = 3"));
        partner.setBehavior(Behavior.RESET);
        for (int i = 0; i < 3; i++) {
            assertEquals(202, submit("s" + i, "settlement"));
        }
        await(() -> log().contains("deadletter: store full"));
        assertEquals(503, submitOnce("s9", "settlement"));
        sendCommand("command", "discard", "id", entryId("s0"), "by", "clerk", "reason", "posted by hand");
        assertTrue(sendCommand("command", "stats").get(0).contains("\"entries\":3"));
    }

    @Test
    void relayServesAfterADamagedStoreIsSetAside() throws Exception {
        Files.createDirectories(stateFolder());
        Files.writeString(stateFolder().resolve("undeliverable.db"), "no database".repeat(1_000));
        start(writeRelayFile(""));
        assertTrue(log().contains("deadletter: damaged database set aside"), log());
        assertEquals(202, submit("s1", "settlement"));
        await(() -> partner.effects().containsKey("s1"));
    }

    @Test
    void storeThatCannotBeOpenedFailsTheStartWithoutAStackTrace() throws Exception {
        Path file = writeRelayFile("");
        Files.createDirectories(stateFolder().resolve("undeliverable.db"));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve",
                        "--config",
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        assertEquals(System.getenv("TMPDIR") == null ? 1 : 2, process.waitFor());
        String out = Files.readString(folder.resolve("out"));
        assertTrue(out.contains("undeliverable") && !out.contains("\tat "), out);
    }
}
