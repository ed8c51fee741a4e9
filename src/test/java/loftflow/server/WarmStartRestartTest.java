package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import loftflow.clock.ClockReading;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.FakePartner;
import loftflow.fake.ScriptedPeer;
import loftflow.fake.ServedRelay;
import loftflow.journal.Journal;
import loftflow.policy.api.AttemptOutcome;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.store.SnapshotSamples;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests relays that start from a snapshot while discovery is down and reconcile it once discovery responds. */
@Order(1)
class WarmStartRestartTest extends RelayFileTestBase {
    private static final long DISK_BYTES = 8L << 20;

    private final Map<String, FakePartner> partners = new HashMap<>();
    private FakeDiscoveryAgent discovery;
    private Path stateFolder;

    @BeforeEach
    void begin() throws IOException {
        stateFolder = folder.resolve("state");
        discovery = new FakeDiscoveryAgent();
    }

    @AfterEach
    void endPeers() throws IOException {
        for (FakePartner partner : partners.values()) {
            partner.close();
        }
        discovery.close();
    }

    /** Starts an upstream for the endpoint with an id. */
    private FakePartner startPartner(String id) throws IOException {
        FakePartner partner = new FakePartner(5, 0);
        partners.put(id, partner);
        return partner;
    }

    private String entry(String id, int destination, String state) {
        return FakeDiscoveryAgent.entry(
                id, destination, "railways", "main", state, partners.get(id).address());
    }

    /** Writes a relay file with warm start on. */
    private Path writeRelayFile(String agent, String... warmStartSettings) throws Exception {
        String text =
                """
                format = 1
                name = "app"
                [machine]
                memory = "128MiB"
                descriptors = 128
                disk = "8MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [discovery]
                agent = "%s"
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "2s"
                deadline = "9s"
                peak-rate = "5/s"
                [[class]]
                name = "order"
                repeat = "by-key"
                key-window = "30s"
                wanted = "2s"
                deadline = "20s"
                peak-rate = "5/s"
                [[partner]]
                name = "iron-line"
                number = 7
                kind = "railways"
                response = "20ms"
                [memory]
                keep = true
                sync = false
                %s
                """
                        .formatted(stateFolder, agent, String.join("\n", warmStartSettings));
        Path file = Files.writeString(folder.resolve("app.toml"), text);
        ConfigTool.Outcome outcome = ConfigTool.write(file, folder, true);
        assertTrue(
                outcome.findings().stream().noneMatch(f -> f.isError()),
                outcome.findings().toString());
        return outcome.file();
    }

    private Path relayFile() {
        return folder.resolve("app.relay.toml");
    }

    private ServedRelay start(Path file) throws Exception {
        return launch(file).awaitServing();
    }

    private static void submit(ServedRelay relay, String id, int destination) throws IOException {
        try (FakeClient client = relay.client()) {
            assertEquals(202, submit(client, id, destination, 9_000));
        }
    }

    /** Returns true if the latest snapshot has the given number of endpoints. */
    private boolean hasSnapshot(int endpoints) {
        try {
            Snapshot snapshot = SnapshotSamples.readLatest(stateFolder);
            return snapshot != null && snapshot.endpoints().size() == endpoints;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean hasDelta(String delta) {
        try {
            return SnapshotSamples.readDeltas(stateFolder).contains(delta);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns true if the snapshot or its deltas mark an endpoint as ejected. */
    private boolean isEjected(String id) {
        try {
            return hasDelta("EJECTED " + id)
                    || SnapshotSamples.readLatest(stateFolder).endpoints().stream()
                            .anyMatch(k -> k.id().equals(id) && k.state() == KnownEndpoint.State.EJECTED);
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a relay, waits until it has saved a list of endpoints, and stops the relay and discovery. */
    private Path saveList(int endpoints, List<String> list, String... warmStartSettings) throws Exception {
        discovery.list(list);
        Path file = writeRelayFile(discovery.address(), warmStartSettings);
        ServedRelay relay = start(file);
        await(() -> hasSnapshot(endpoints));
        relay.close();
        discovery.close();
        return file;
    }

    private static boolean logs(ServedRelay relay, String text) {
        try {
            return relay.log().contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean hasExecuted(FakePartner partner, String id) {
        return partner.effects().containsKey(id);
    }

    @Test
    void relayStartsAndDeliversWithoutDiscovery() throws Exception {
        FakePartner partner = startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(file);
        try (FakeClient client = relay.client()) {
            assertTrue(client.isReady(), "the relay is ready as soon as it serves");
        }
        submit(relay, "s1", 7);
        await(() -> hasExecuted(partner, "s1"));
        assertTrue(relay.log().contains("warmstart: restored endpoints=1 revision=1 "), relay.log());
    }

    @Test
    void relayWithoutASnapshotServesButIsNotReady() throws Exception {
        discovery.close();
        ServedRelay relay = start(writeRelayFile(discovery.address()));
        try (FakeClient client = relay.client()) {
            assertFalse(client.isReady());
        }
    }

    /** The trust half-life is so short that the list is stale by the time the process has started. */
    @Tag("known-red")
    @Test
    void anotherServiceAtARemovedEndpointsAddressReceivesNoMessage() throws Exception {
        FakePartner removed = startPartner("iron-1");
        FakePartner partner = startPartner("iron-2");
        Path file = saveList(
                2,
                List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")),
                "half-life = \"2s\"",
                "settle = \"1s\"");
        int port = Integer.parseInt(removed.address().split(":")[1]);
        removed.close();
        try (ScriptedPeer otherService =
                new ScriptedPeer(port, r -> ScriptedPeer.status(r.line().startsWith("POST ") ? 200 : 404))) {
            ServedRelay relay = start(file);
            for (int i = 0; i < 4; i++) {
                submit(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 4);
            assertEquals(0, otherService.count("POST "), "messages sent to another service");
            assertTrue(
                    otherService.count("GET ") == 0 || relay.log().contains("reason=unexpected-response"), relay.log());
        }
    }

    @Test
    void hangingAndRefusingEndpointsAreEjectedAndOthersAreUsed() throws Exception {
        FakePartner hanging = startPartner("iron-1");
        FakePartner refusing = startPartner("iron-2");
        FakePartner partner = startPartner("iron-3");
        Path file = saveList(
                3,
                List.of(
                        entry("iron-1", 7, "in_service"),
                        entry("iron-2", 8, "in_service"),
                        entry("iron-3", 9, "in_service")),
                "half-life = \"2s\"",
                "settle = \"1s\"");
        int port = Integer.parseInt(hanging.address().split(":")[1]);
        hanging.close();
        refusing.close();
        try (ScriptedPeer silent = new ScriptedPeer(port, r -> ScriptedPeer.SILENCE)) {
            ServedRelay relay = start(file);
            submit(relay, "s1", 7);
            submit(relay, "s2", 8);
            submit(relay, "s3", 9);
            await(() -> hasExecuted(partner, "s3"));
            await(() -> isEjected("iron-1") && isEjected("iron-2"));
            assertEquals(0, silent.count("POST "));
            relay.close();
            ServedRelay restarted = start(file);
            assertTrue(restarted.log().contains("never=2"), "ejected after the restart too: " + restarted.log());
        }
    }

    @Test
    void drainReceivedJustBeforeAKillIsRestored() throws Exception {
        FakePartner drained = startPartner("iron-1");
        FakePartner partner = startPartner("iron-2");
        discovery.list(List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")));
        Path file = writeRelayFile(discovery.address());
        ServedRelay first = start(file);
        await(() -> hasSnapshot(2));
        discovery.list(List.of(entry("iron-1", 7, "terminating"), entry("iron-2", 7, "in_service")));
        await(() -> hasDelta("OUT_OF_SERVICE iron-1") || hasSnapshot(1));
        first.close();
        discovery.close();
        ServedRelay relay = start(file);
        for (int i = 0; i < 6; i++) {
            submit(relay, "s" + i, 7);
        }
        await(() -> partner.effects().size() == 6);
        assertEquals(List.of(), drained.postings());
    }

    @Test
    void endpointsMissingAfterDiscoveryRecoversAreRemoved() throws Exception {
        FakePartner removed = startPartner("iron-1");
        FakePartner partner = startPartner("iron-2");
        Path file = saveList(2, List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")));
        // Discovery restarts at the configured address.
        int port = Integer.parseInt(discovery.address().split(":")[1]);
        ServedRelay relay = start(file);
        String list = "{\"rev\":9,\"all\":true,\"targets\":[" + entry("iron-2", 7, "in_service") + "]}";
        try (ScriptedPeer recoveredDiscovery = new ScriptedPeer(
                port,
                r -> r.line().contains("after=")
                        ? ScriptedPeer.answer(200, "{\"rev\":9,\"all\":false,\"targets\":[]}")
                        : ScriptedPeer.answer(200, list))) {
            await(() -> recoveredDiscovery.count("GET /api/targets?after=9") > 0);
            int postingsBefore = removed.postings().size();
            for (int i = 0; i < 12; i++) {
                submit(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 12);
            assertEquals(postingsBefore, removed.postings().size(), "calls to a removed endpoint");
        }
    }

    /** Ejecting an endpoint changes the cached list, which must still count as possibly incomplete. */
    @Test
    void unknownDestinationIsRejectedAndNotFailedUntilDiscoveryResponds() throws Exception {
        FakePartner refusing = startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")), "half-life = \"2s\"", "settle = \"1s\"");
        refusing.close();
        ServedRelay relay = start(file);
        submit(relay, "s1", 7);
        await(() -> isEjected("iron-1"));
        try (FakeClient client = relay.client()) {
            assertEquals(503, client.handIn("s2", "settlement", null, null, 8, 9000, "a"));
        }
    }

    @Test
    void emptyListIsAppliedOnlyOnceConfirmed() throws Exception {
        FakePartner partner = startPartner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(writeRelayFile(discovery.address(), "settle = \"3s\""));
        submit(relay, "s1", 7);
        await(() -> hasExecuted(partner, "s1"));
        discovery.list(List.of());
        await(() -> logs(relay, "discovery list in doubt"));
        submit(relay, "s2", 7);
        await(() -> hasExecuted(partner, "s2"));
        await(() -> logs(relay, "doubtful discovery list accepted"));
        await(() -> hasDelta("OUT_OF_SERVICE iron-1") || hasSnapshot(0));
    }

    @Test
    void retryAfterOfAnUpstreamHoldsOverAKill() throws Exception {
        AtomicReference<Boolean> isOverloaded = new AtomicReference<>(true);
        try (ScriptedPeer host = new ScriptedPeer(r ->
                isOverloaded.get() ? ScriptedPeer.status(429, "X-Come-Back-Ms: 5000") : ScriptedPeer.status(200))) {
            discovery.list(
                    List.of(FakeDiscoveryAgent.entry("iron-1", 7, "railways", "main", "in_service", host.address())));
            Path file = writeRelayFile(discovery.address());
            ServedRelay first = start(file);
            await(() -> hasSnapshot(1));
            submit(first, "s1", 7);
            await(() -> host.count("POST ") == 1);
            await(() -> hasDelta("RETRY_AFTER iron-1") || hasRetryAfter());
            // The delta is written before the outcome; a message without an outcome may have been executed.
            await(this::hasRecordedRejection);
            first.close();
            discovery.close();
            isOverloaded.set(false);
            start(file);
            await(() -> host.requests.size() == 2);
            long waitedNanos = host.requests.get(1).at() - host.requests.get(0).at();
            assertTrue(waitedNanos >= 5_000_000_000L, "called again after " + waitedNanos / 1_000_000 + " ms");
        }
    }

    /** Returns true if the journal has the outcome of the first attempt of its open message, a rejection. */
    private boolean hasRecordedRejection() {
        try {
            Path copy = Files.createDirectories(folder.resolve("journal-copy"));
            try (DirectoryStream<Path> segments = Files.newDirectoryStream(stateFolder, "journal-*.log")) {
                for (Path segment : segments) {
                    Files.copy(segment, copy.resolve(segment.getFileName()), StandardCopyOption.REPLACE_EXISTING);
                }
            }
            try (Journal journal = new Journal(copy, DISK_BYTES)) {
                return journal.openMessages().get(0).attempts().get(0).outcome() == AttemptOutcome.REJECTED;
            }
        } catch (IOException e) {
            return false;
        }
    }

    private boolean hasRetryAfter() {
        try {
            return SnapshotSamples.readLatest(stateFolder).endpoints().stream()
                    .anyMatch(
                            k -> k.routeSnapshot() != null && k.routeSnapshot().retryAfterRemainingMicros() > 0);
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void listThatIsWeeksOldIsUsedAsALastResort() throws Exception {
        FakePartner partner = startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        long ageMicros = 21L * 24 * 3600 * 1_000_000;
        SnapshotSamples.rewriteLatest(
                stateFolder,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(
                                p.clocks().wallMicros() - ageMicros,
                                p.clocks().uptimeMicros() - ageMicros,
                                p.clocks().bootId()),
                        p.relayTimeMicros() - ageMicros,
                        p.revision(),
                        p.endpoints().stream()
                                .map(k -> k.withListing(k.entry(), k.address(), k.listedAtMicros() - ageMicros))
                                .toList()));
        ServedRelay relay = start(file);
        assertTrue(relay.log().contains("lastResort=1"), relay.log());
        submit(relay, "s1", 7);
        await(() -> hasExecuted(partner, "s1"));
        assertEquals(1, partner.checks().size(), "health checks before the message");
    }

    @Test
    void repeatedKillsKeepTheListAndDoNotRaiseTrust() throws Exception {
        FakePartner partner = startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        long listedAt =
                SnapshotSamples.readLatest(stateFolder).endpoints().get(0).listedAtMicros();
        for (int i = 0; i < 10; i++) {
            ServedRelay relay = start(file);
            assertTrue(relay.log().contains("warmstart: restored endpoints=1 "), relay.log());
            relay.close();
        }
        assertEquals(
                listedAt,
                SnapshotSamples.readLatest(stateFolder).endpoints().get(0).listedAtMicros(),
                "a start does not confirm an endpoint");
        ServedRelay relay = start(file);
        submit(relay, "s1", 7);
        await(() -> hasExecuted(partner, "s1"));
    }

    /** Discovery sends no valid response. The relay delivers messages and repeats its requests to discovery. */
    @ParameterizedTest
    @ValueSource(strings = {"500", "garbage", "half", "byte by byte", "silent"})
    void invalidDiscoveryResponsesDoNotDelayDeliveries(String fault) throws Exception {
        FakePartner partner = startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        int port = Integer.parseInt(discovery.address().split(":")[1]);
        String list = ScriptedPeer.answer(
                200, "{\"rev\":9,\"all\":true,\"targets\":[" + entry("iron-1", 7, "in_service") + "]}");
        try (ServerSocket listener = fault.equals("byte by byte") ? ScriptedPeer.listen(port) : null;
                ScriptedPeer faultyDiscovery = listener != null
                        ? null
                        : new ScriptedPeer(port, r -> switch (fault) {
                            case "500" -> ScriptedPeer.status(500);
                            case "garbage" -> ScriptedPeer.answer(200, "[[[[");
                            case "half" -> list.substring(0, list.length() - 9);
                            default -> ScriptedPeer.SILENCE;
                        })) {
            List<Long> requestTimes = new ArrayList<>();
            if (listener != null) {
                sendByteByByte(listener, list, requestTimes);
            }
            ServedRelay relay = start(file);
            submit(relay, "s1", 7);
            await(() -> hasExecuted(partner, "s1"));
            await(() -> countRequests(faultyDiscovery, requestTimes) >= 3);
        }
    }

    private static long countRequests(ScriptedPeer peer, List<Long> requestTimes) {
        synchronized (requestTimes) {
            return peer != null ? peer.count("GET /api/targets") : requestTimes.size();
        }
    }

    /** Responds to every connection one byte at a time, 20 ms apart. */
    private static void sendByteByByte(ServerSocket listener, String response, List<Long> requestTimes) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    var socket = listener.accept();
                    synchronized (requestTimes) {
                        requestTimes.add(System.nanoTime());
                    }
                    Thread connectionThread = new Thread(() -> {
                        try (socket) {
                            for (char c : response.toCharArray()) {
                                socket.getOutputStream().write(c);
                                Thread.sleep(20);
                            }
                        } catch (IOException | InterruptedException e) {
                            // The relay has closed the connection.
                        }
                    });
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void relayStartsAfterTruncatedAndForeignSnapshotsAreSetAside() throws Exception {
        startPartner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        SnapshotSamples.truncateLatest(stateFolder);
        ServedRelay afterTruncation = start(file);
        assertTrue(afterTruncation.log().contains("file set aside"), afterTruncation.log());
        afterTruncation.close();
        Files.walk(stateFolder).filter(f -> f.toString().contains("remembered")).forEach(f -> f.toFile()
                .delete());
        SnapshotSamples.write(stateFolder, new Snapshot("app#1", 1, new ClockReading(0, 0, ""), 0, 1, List.of()));
        ServedRelay withForeignSnapshot = start(file);
        assertTrue(withForeignSnapshot.log().contains("owner is app#1, expected is app#0"), withForeignSnapshot.log());
    }

    @Test
    void relayServesIfTheSnapshotCannotBeWritten() throws Exception {
        FakePartner partner = startPartner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        // A directory at the path of the new snapshot makes writing it fail.
        Files.createDirectories(stateFolder.resolve("remembered.new").resolve("full"));
        ServedRelay relay = start(writeRelayFile(discovery.address()));
        submit(relay, "s1", 7);
        await(() -> hasExecuted(partner, "s1"));
        await(() -> logs(relay, "warmstart: snapshot write failed"));
        submit(relay, "s2", 7);
        await(() -> hasExecuted(partner, "s2"));
    }

    /** Starts a relay and submits a keyed message, whose only attempt is executed but gets no response. */
    private ServedRelay startWithAnAttemptThatMayHaveBeenExecuted() throws Exception {
        FakePartner partner = startPartner("iron-1");
        partner.setBehavior(FakePartner.Behavior.SILENT);
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        ServedRelay first = start(writeRelayFile(discovery.address()));
        await(() -> hasSnapshot(1));
        try (FakeClient client = first.client()) {
            await(() -> {
                try {
                    return client.handIn("k1", "order", null, "key-1", 7, 20_000, "a") == 202;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
        await(() -> hasExecuted(partner, "k1"));
        return first;
    }

    /**
     * After a reboot with the wall clock set back by two hours, the clocks do not show that a key window is still open.
     */
    @Test
    void keyedMessageIsNotRetriedIfTheClocksDoNotShowItsWindow() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveBeenExecuted();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.setBehavior(FakePartner.Behavior.NORMAL);
        SnapshotSamples.rewriteLatest(
                stateFolder,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(p.clocks().wallMicros() + 7_200_000_000L, 1, "another"),
                        p.relayTimeMicros() + 7_200_000_000L,
                        p.revision(),
                        p.endpoints()));
        ServedRelay relay = start(relayFile());
        assertTrue(relay.log().contains("warmstart: wall clock differs from relay time seconds=-7"), relay.log());
        await(() -> discovery.notices().stream().anyMatch(n -> n.ref().equals("k1")));
        assertEquals(1, partner.effects().get("k1"), "executions of a message whose key window may be over");
    }

    /** The clocks are unchanged, so the message is retried within its key window. */
    @Test
    void keyedMessageIsRetriedWithinItsWindow() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveBeenExecuted();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.setBehavior(FakePartner.Behavior.NORMAL);
        start(relayFile());
        await(() -> partner.effects().get("k1") == 2);
    }
}
