package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.FakePartner;
import loftflow.fake.ScriptedPeer;
import loftflow.fake.ServedRelay;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.store.SnapshotSamples;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Relays that start from what they remember while discovery is down, and meet it again. */
@Order(1)
class WarmStartRestartTest extends RelayFileTestBase {
    private final Map<String, FakePartner> partners = new HashMap<>();
    private FakeDiscoveryAgent discovery;
    private Path state;

    @BeforeEach
    void begin() throws IOException {
        state = folder.resolve("state");
        discovery = new FakeDiscoveryAgent();
    }

    @AfterEach
    void endPeers() throws IOException {
        for (FakePartner partner : partners.values()) {
            partner.close();
        }
        discovery.close();
    }

    private FakePartner partner(String id) throws IOException {
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
                        .formatted(state, agent, String.join("\n", warmStartSettings));
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

    private boolean hasSnapshot(int endpoints) {
        try {
            Snapshot snapshot = SnapshotSamples.readLatest(state);
            return snapshot != null && snapshot.endpoints().size() == endpoints;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean hasDelta(String delta) {
        try {
            return SnapshotSamples.readDeltas(state).contains(delta);
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isExcluded(String id) {
        try {
            return hasDelta("EJECTED " + id)
                    || SnapshotSamples.readLatest(state).endpoints().stream()
                            .anyMatch(k -> k.id().equals(id) && k.state() == KnownEndpoint.State.EJECTED);
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a relay, waits until it has saved a list, and ends the relay and discovery. */
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

    private static boolean ran(FakePartner partner, String id) {
        return partner.effects().containsKey(id);
    }

    @Test
    void relayStartsAndDeliversWithoutDiscovery() throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(file);
        try (FakeClient client = relay.client()) {
            assertTrue(client.isReady(), "as soon as it serves");
        }
        submit(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        assertTrue(relay.log().contains("warmstart: restored endpoints=1 revision=1 "), relay.log());
    }

    @Test
    void relayWithNoSnapshotStartsWithoutAList() throws Exception {
        discovery.close();
        ServedRelay relay = start(writeRelayFile(discovery.address()));
        try (FakeClient client = relay.client()) {
            assertFalse(client.isReady());
        }
    }

    /** The half-life is so short that the list is stale by the time the process has started. */
    @Test
    void anotherServiceAtARemovedEndpointsAddressGetsNoMessage() throws Exception {
        FakePartner gone = partner("iron-1");
        FakePartner partner = partner("iron-2");
        Path file = saveList(
                2,
                List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")),
                "half-life = \"2s\"",
                "settle = \"1s\"");
        int port = Integer.parseInt(gone.address().split(":")[1]);
        gone.close();
        try (ScriptedPeer other =
                new ScriptedPeer(port, r -> ScriptedPeer.status(r.line().startsWith("POST ") ? 200 : 404))) {
            ServedRelay relay = start(file);
            for (int i = 0; i < 4; i++) {
                submit(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 4);
            assertEquals(0, other.count("POST "), "a message was sent to another service");
            assertTrue(other.count("GET ") == 0 || relay.log().contains("reason=unexpected-response"), relay.log());
        }
    }

    @Test
    void hangingAndRefusingAddressesAreExcludedAndTheOthersServe() throws Exception {
        FakePartner hung = partner("iron-1");
        FakePartner refused = partner("iron-2");
        FakePartner partner = partner("iron-3");
        Path file = saveList(
                3,
                List.of(
                        entry("iron-1", 7, "in_service"),
                        entry("iron-2", 8, "in_service"),
                        entry("iron-3", 9, "in_service")),
                "half-life = \"2s\"",
                "settle = \"1s\"");
        int port = Integer.parseInt(hung.address().split(":")[1]);
        hung.close();
        refused.close();
        try (ScriptedPeer silent = new ScriptedPeer(port, r -> ScriptedPeer.SILENCE)) {
            ServedRelay relay = start(file);
            submit(relay, "s1", 7);
            submit(relay, "s2", 8);
            submit(relay, "s3", 9);
            await(() -> ran(partner, "s3"));
            await(() -> isExcluded("iron-1") && isExcluded("iron-2"));
            assertEquals(0, silent.count("POST "));
            relay.close();
            ServedRelay again = start(file);
            assertTrue(again.log().contains("never=2"), "excluded after a restart too: " + again.log());
        }
    }

    @Test
    void drainReceivedJustBeforeTheCrashStaysInForce() throws Exception {
        FakePartner drained = partner("iron-1");
        FakePartner partner = partner("iron-2");
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
    void endpointsMissingFromReturningDiscoveryAreRemoved() throws Exception {
        FakePartner removed = partner("iron-1");
        FakePartner partner = partner("iron-2");
        Path file = saveList(2, List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")));
        // Discovery returns at the address that the relay has configured.
        int port = Integer.parseInt(discovery.address().split(":")[1]);
        ServedRelay relay = start(file);
        String list = "{\"rev\":9,\"all\":true,\"targets\":[" + entry("iron-2", 7, "in_service") + "]}";
        try (ScriptedPeer back = new ScriptedPeer(
                port,
                r -> r.line().contains("after=")
                        ? ScriptedPeer.answer(200, "{\"rev\":9,\"all\":false,\"targets\":[]}")
                        : ScriptedPeer.answer(200, list))) {
            await(() -> back.count("GET /api/targets?after=9") > 0);
            int before = removed.postings().size();
            for (int i = 0; i < 12; i++) {
                submit(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 12);
            assertEquals(before, removed.postings().size(), "calls to a removed endpoint");
        }
    }

    /** Excluding an endpoint changes a cached list, which still does not say what other endpoints there are. */
    @Test
    void unknownDestinationIsRejectedAndNotFailedUntilDiscoveryAnswers() throws Exception {
        FakePartner refused = partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")), "half-life = \"2s\"", "settle = \"1s\"");
        refused.close();
        ServedRelay relay = start(file);
        submit(relay, "s1", 7);
        await(() -> isExcluded("iron-1"));
        try (FakeClient client = relay.client()) {
            assertEquals(503, client.handIn("s2", "settlement", null, null, 8, 9000, "a"));
        }
    }

    @Test
    void emptyListIsAppliedOnlyOnceConfirmed() throws Exception {
        FakePartner partner = partner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(writeRelayFile(discovery.address(), "settle = \"3s\""));
        submit(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        discovery.list(List.of());
        await(() -> logs(relay, "discovery list in doubt"));
        submit(relay, "s2", 7);
        await(() -> ran(partner, "s2"));
        await(() -> logs(relay, "doubtful discovery list accepted"));
        await(() -> hasDelta("OUT_OF_SERVICE iron-1") || hasSnapshot(0));
    }

    @Test
    void retryAfterOfAnUpstreamHoldsOverAKill() throws Exception {
        AtomicReference<Boolean> full = new AtomicReference<>(true);
        try (ScriptedPeer busy = new ScriptedPeer(
                r -> full.get() ? ScriptedPeer.status(429, "X-Come-Back-Ms: 5000") : ScriptedPeer.status(200))) {
            discovery.list(
                    List.of(FakeDiscoveryAgent.entry("iron-1", 7, "railways", "main", "in_service", busy.address())));
            Path file = writeRelayFile(discovery.address());
            ServedRelay first = start(file);
            await(() -> hasSnapshot(1));
            submit(first, "s1", 7);
            await(() -> busy.count("POST ") == 1);
            await(() -> hasDelta("RETRY_AFTER iron-1") || hasRetryAfter());
            first.close();
            discovery.close();
            full.set(false);
            start(file);
            await(() -> busy.requests.size() == 2);
            long waitedNanos = busy.requests.get(1).at() - busy.requests.get(0).at();
            assertTrue(waitedNanos >= 5_000_000_000L, "called again after " + waitedNanos / 1_000_000 + " ms");
        }
    }

    private boolean hasRetryAfter() {
        try {
            return SnapshotSamples.readLatest(state).endpoints().stream()
                    .anyMatch(
                            k -> k.routeSnapshot() != null && k.routeSnapshot().retryAfterRemainingMicros() > 0);
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void listThatIsWeeksOldIsUsedWhereNothingElseIsLeft() throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        long weeks = 21L * 24 * 3600 * 1_000_000;
        SnapshotSamples.rewriteLatest(
                state,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(
                                p.clocks().wallMicros() - weeks,
                                p.clocks().uptimeMicros() - weeks,
                                p.clocks().bootId()),
                        p.relayTimeMicros() - weeks,
                        p.revision(),
                        p.endpoints().stream()
                                .map(k -> k.withListing(k.entry(), k.address(), k.listedAtMicros() - weeks))
                                .toList()));
        ServedRelay relay = start(file);
        assertTrue(relay.log().contains("lastResort=1"), relay.log());
        submit(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        assertEquals(1, partner.checks().size(), "a health check was sent first");
    }

    @Test
    void tenKillsInARowLoseNothingAndDoNotRaiseTrust() throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        long listedAt = SnapshotSamples.readLatest(state).endpoints().get(0).listedAtMicros();
        for (int i = 0; i < 10; i++) {
            ServedRelay relay = start(file);
            assertTrue(relay.log().contains("warmstart: restored endpoints=1 "), relay.log());
            relay.close();
        }
        assertEquals(
                listedAt,
                SnapshotSamples.readLatest(state).endpoints().get(0).listedAtMicros(),
                "a start proves nothing about an endpoint");
        ServedRelay relay = start(file);
        submit(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
    }

    /** Discovery answers nothing usable: the relay is ready at once, and repeats its requests. */
    @ParameterizedTest
    @ValueSource(strings = {"500", "garbage", "half", "byte by byte", "silent"})
    void unusableDiscoveryDelaysNothing(String how) throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        int port = Integer.parseInt(discovery.address().split(":")[1]);
        String list = ScriptedPeer.answer(
                200, "{\"rev\":9,\"all\":true,\"targets\":[" + entry("iron-1", 7, "in_service") + "]}");
        try (ServerSocket listener = how.equals("byte by byte") ? ScriptedPeer.listen(port) : null;
                ScriptedPeer bad = listener != null
                        ? null
                        : new ScriptedPeer(port, r -> switch (how) {
                            case "500" -> ScriptedPeer.status(500);
                            case "garbage" -> ScriptedPeer.answer(200, "[[[[");
                            case "half" -> list.substring(0, list.length() - 9);
                            default -> ScriptedPeer.SILENCE;
                        })) {
            List<Long> requestTimes = new ArrayList<>();
            if (listener != null) {
                drip(listener, list, requestTimes);
            }
            ServedRelay relay = start(file);
            submit(relay, "s1", 7);
            await(() -> ran(partner, "s1"));
            await(() -> count(bad, requestTimes) >= 3);
        }
    }

    private static long count(ScriptedPeer peer, List<Long> requestTimes) {
        synchronized (requestTimes) {
            return peer != null ? peer.count("GET /api/targets") : requestTimes.size();
        }
    }

    private static void drip(ServerSocket listener, String answer, List<Long> requestTimes) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    var socket = listener.accept();
                    synchronized (requestTimes) {
                        requestTimes.add(System.nanoTime());
                    }
                    Thread each = new Thread(() -> {
                        try (socket) {
                            for (char c : answer.toCharArray()) {
                                socket.getOutputStream().write(c);
                                Thread.sleep(20);
                            }
                        } catch (IOException | InterruptedException e) {
                            // The relay has closed the connection.
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void tornAndForeignSnapshotsAreSetAsideAndTheRelayStarts() throws Exception {
        partner("iron-1");
        Path file = saveList(1, List.of(entry("iron-1", 7, "in_service")));
        SnapshotSamples.truncateLatest(state);
        ServedRelay torn = start(file);
        assertTrue(torn.log().contains("file set aside"), torn.log());
        torn.close();
        Files.walk(state).filter(f -> f.toString().contains("remembered")).forEach(f -> f.toFile()
                .delete());
        SnapshotSamples.write(state, new Snapshot("app#1", 1, new ClockReading(0, 0, ""), 0, 1, List.of()));
        ServedRelay foreign = start(file);
        assertTrue(foreign.log().contains("owner is app#1, expected is app#0"), foreign.log());
    }

    @Test
    void unwritableSnapshotStopsNothing() throws Exception {
        FakePartner partner = partner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        // A directory at the path of the new snapshot makes writing it fail.
        Files.createDirectories(state.resolve("remembered.new").resolve("full"));
        ServedRelay relay = start(writeRelayFile(discovery.address()));
        submit(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        await(() -> logs(relay, "warmstart: snapshot write failed"));
        submit(relay, "s2", 7);
        await(() -> ran(partner, "s2"));
    }

    /** A relay with a keyed message whose one attempt was executed but not answered. */
    private ServedRelay startWithAnAttemptThatMayHaveRun() throws Exception {
        FakePartner partner = partner("iron-1");
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
        await(() -> ran(partner, "k1"));
        return first;
    }

    /** After a reboot with the wall clock two hours back, no key window can be shown to be open. */
    @Test
    void keyedMessageIsNotSentAgainWhereClocksCannotShowItsWindow() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveRun();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.setBehavior(FakePartner.Behavior.NORMAL);
        SnapshotSamples.rewriteLatest(
                state,
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
        assertEquals(1, partner.effects().get("k1"), "it may have been executed, and the window may be over");
    }

    /** With no change of the clock the message is sent again, as its key window is open. */
    @Test
    void keyedMessageIsSentAgainWithinItsWindow() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveRun();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.setBehavior(FakePartner.Behavior.NORMAL);
        start(relayFile());
        await(() -> partner.effects().get("k1") == 2);
    }
}
