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

    /** A relay file whose memory keeps what it is told. */
    private Path written(String agent, String... memory) throws Exception {
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
                        .formatted(state, agent, String.join("\n", memory));
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

    private static void handIn(ServedRelay relay, String id, int destination) throws IOException {
        try (FakeClient client = relay.client()) {
            assertEquals(202, handIn(client, id, destination, 9_000));
        }
    }

    private boolean hasPicture(int endpoints) {
        try {
            Snapshot picture = SnapshotSamples.of(state);
            return picture != null && picture.endpoints().size() == endpoints;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isNoted(String note) {
        try {
            return SnapshotSamples.notes(state).contains(note);
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isStruck(String id) {
        try {
            return isNoted("EJECTED " + id)
                    || SnapshotSamples.of(state).endpoints().stream()
                            .anyMatch(k -> k.id().equals(id) && k.state() == KnownEndpoint.State.STRUCK);
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a relay, lets it learn a list and kills it; discovery is gone afterwards. */
    private Path learnt(int endpoints, List<String> list, String... memory) throws Exception {
        discovery.list(list);
        Path file = written(discovery.address(), memory);
        ServedRelay relay = start(file);
        await(() -> hasPicture(endpoints));
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
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(file);
        try (FakeClient client = relay.client()) {
            assertTrue(client.isReady(), "as soon as it serves");
        }
        handIn(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        assertTrue(relay.log().contains("warmstart: restored endpoints=1 revision=1 "), relay.log());
    }

    @Test
    void relayThatRemembersNothingStartsWithoutAList() throws Exception {
        discovery.close();
        ServedRelay relay = start(written(discovery.address()));
        try (FakeClient client = relay.client()) {
            assertFalse(client.isReady());
        }
    }

    /** The half-life is so short that the list is old: a thirteenth of it goes by while the process starts. */
    @Test
    void anotherServiceAtARemovedEndpointsAddressGetsNoMessage() throws Exception {
        FakePartner gone = partner("iron-1");
        FakePartner partner = partner("iron-2");
        Path file = learnt(
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
                handIn(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 4);
            assertEquals(0, other.count("POST "), "a message went to another service");
            assertTrue(other.count("GET ") == 0 || relay.log().contains("reason=unexpected-response"), relay.log());
        }
    }

    @Test
    void addressThatHangsAndOneThatRefusesAreStruckOutAndTheRestServes() throws Exception {
        FakePartner hung = partner("iron-1");
        FakePartner refused = partner("iron-2");
        FakePartner partner = partner("iron-3");
        Path file = learnt(
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
            handIn(relay, "s1", 7);
            handIn(relay, "s2", 8);
            handIn(relay, "s3", 9);
            await(() -> ran(partner, "s3"));
            await(() -> isStruck("iron-1") && isStruck("iron-2"));
            assertEquals(0, silent.count("POST "));
            relay.close();
            ServedRelay again = start(file);
            assertTrue(again.log().contains("never=2"), "out over a restart too: " + again.log());
        }
    }

    @Test
    void drainToldJustBeforeTheCrashHolds() throws Exception {
        FakePartner drained = partner("iron-1");
        FakePartner partner = partner("iron-2");
        discovery.list(List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")));
        Path file = written(discovery.address());
        ServedRelay first = start(file);
        await(() -> hasPicture(2));
        discovery.list(List.of(entry("iron-1", 7, "terminating"), entry("iron-2", 7, "in_service")));
        await(() -> isNoted("OUT_OF_SERVICE iron-1") || hasPicture(1));
        first.close();
        discovery.close();
        ServedRelay relay = start(file);
        for (int i = 0; i < 6; i++) {
            handIn(relay, "s" + i, 7);
        }
        await(() -> partner.effects().size() == 6);
        assertEquals(List.of(), drained.postings());
    }

    @Test
    void discoveryThatReturnsEndsWhatItLeavesOut() throws Exception {
        FakePartner removed = partner("iron-1");
        FakePartner partner = partner("iron-2");
        Path file = learnt(2, List.of(entry("iron-1", 7, "in_service"), entry("iron-2", 7, "in_service")));
        // At the address that the relay knows.
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
                handIn(relay, "s" + i, 7);
            }
            await(() -> partner.effects().size() == 12);
            assertEquals(before, removed.postings().size(), "calls to an endpoint that is gone");
        }
    }

    /** An endpoint that is struck out is news of that endpoint alone: what else there is discovery still has to say. */
    @Test
    void destinationThatIsNotRememberedIsRefusedAndNotFailedUntilDiscoverySpeaks() throws Exception {
        FakePartner refused = partner("iron-1");
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")), "half-life = \"2s\"", "settle = \"1s\"");
        refused.close();
        ServedRelay relay = start(file);
        handIn(relay, "s1", 7);
        await(() -> isStruck("iron-1"));
        try (FakeClient client = relay.client()) {
            assertEquals(503, client.handIn("s2", "settlement", null, null, 8, 9000, "a"));
        }
    }

    @Test
    void emptyListIsDoubtedThenBelieved() throws Exception {
        FakePartner partner = partner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        ServedRelay relay = start(written(discovery.address(), "settle = \"3s\""));
        handIn(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        discovery.list(List.of());
        await(() -> logs(relay, "discovery list in doubt"));
        handIn(relay, "s2", 7);
        await(() -> ran(partner, "s2"));
        await(() -> logs(relay, "doubtful discovery list accepted"));
        await(() -> isNoted("OUT_OF_SERVICE iron-1") || hasPicture(0));
    }

    @Test
    void waitThatAPartnerToldHoldsOverAKill() throws Exception {
        AtomicReference<Boolean> full = new AtomicReference<>(true);
        try (ScriptedPeer busy = new ScriptedPeer(
                r -> full.get() ? ScriptedPeer.status(429, "X-Come-Back-Ms: 5000") : ScriptedPeer.status(200))) {
            discovery.list(
                    List.of(FakeDiscoveryAgent.entry("iron-1", 7, "railways", "main", "in_service", busy.address())));
            Path file = written(discovery.address());
            ServedRelay first = start(file);
            await(() -> hasPicture(1));
            handIn(first, "s1", 7);
            await(() -> busy.count("POST ") == 1);
            await(() -> isNoted("RETRY_AFTER iron-1") || standsToWait());
            first.close();
            discovery.close();
            full.set(false);
            start(file);
            await(() -> busy.requests.size() == 2);
            long span = busy.requests.get(1).at() - busy.requests.get(0).at();
            assertTrue(span >= 5_000_000_000L, "asked again after " + span / 1_000_000 + " ms");
        }
    }

    private boolean standsToWait() {
        try {
            return SnapshotSamples.of(state).endpoints().stream()
                    .anyMatch(k -> k.standing() != null && k.standing().retryAfterRemainingMicros() > 0);
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void listThatIsWeeksOldIsUsedWhereNothingElseIsLeft() throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")));
        long weeks = 21L * 24 * 3600 * 1_000_000;
        SnapshotSamples.change(
                state,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(p.at().wall() - weeks, p.at().up() - weeks, p.at().boot()),
                        p.time() - weeks,
                        p.revision(),
                        p.endpoints().stream()
                                .map(k -> k.listed(k.listed(), k.address(), k.listedAt() - weeks))
                                .toList()));
        ServedRelay relay = start(file);
        assertTrue(relay.log().contains("lastResort=1"), relay.log());
        handIn(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        assertEquals(1, partner.checks().size(), "a check went first");
    }

    @Test
    void tenKillsInARowLoseNothingAndBelieveNoMore() throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")));
        long listedAt = SnapshotSamples.of(state).endpoints().get(0).listedAt();
        for (int i = 0; i < 10; i++) {
            ServedRelay relay = start(file);
            assertTrue(relay.log().contains("warmstart: restored endpoints=1 "), relay.log());
            relay.close();
        }
        assertEquals(listedAt, SnapshotSamples.of(state).endpoints().get(0).listedAt(), "no start is evidence");
        ServedRelay relay = start(file);
        handIn(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
    }

    /** Discovery answers nothing of use: the relay is ready at once, and goes on asking. */
    @ParameterizedTest
    @ValueSource(strings = {"500", "garbage", "half", "byte by byte", "silent"})
    void discoveryOfNoUseHoldsNothingUp(String how) throws Exception {
        FakePartner partner = partner("iron-1");
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")));
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
            List<Long> asked = new ArrayList<>();
            if (listener != null) {
                drip(listener, list, asked);
            }
            ServedRelay relay = start(file);
            handIn(relay, "s1", 7);
            await(() -> ran(partner, "s1"));
            await(() -> count(bad, asked) >= 3);
        }
    }

    private static long count(ScriptedPeer peer, List<Long> asked) {
        synchronized (asked) {
            return peer != null ? peer.count("GET /api/targets") : asked.size();
        }
    }

    private static void drip(ServerSocket listener, String answer, List<Long> asked) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    var socket = listener.accept();
                    synchronized (asked) {
                        asked.add(System.nanoTime());
                    }
                    Thread each = new Thread(() -> {
                        try (socket) {
                            for (char c : answer.toCharArray()) {
                                socket.getOutputStream().write(c);
                                Thread.sleep(20);
                            }
                        } catch (IOException | InterruptedException e) {
                            // The relay has given it up.
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void tornPictureAndAnotherRelaysAreSetAsideAndTheStartGoesOn() throws Exception {
        partner("iron-1");
        Path file = learnt(1, List.of(entry("iron-1", 7, "in_service")));
        SnapshotSamples.tear(state);
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
    void diskThatTakesNoPictureStopsNothing() throws Exception {
        FakePartner partner = partner("iron-1");
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        // Where a picture is to be written stands something that can't be written to.
        Files.createDirectories(state.resolve("remembered.new").resolve("full"));
        ServedRelay relay = start(written(discovery.address()));
        handIn(relay, "s1", 7);
        await(() -> ran(partner, "s1"));
        await(() -> logs(relay, "warmstart: snapshot write failed"));
        handIn(relay, "s2", 7);
        await(() -> ran(partner, "s2"));
    }

    /** A relay with a keyed message whose one attempt has run and has no answer. */
    private ServedRelay startWithAnAttemptThatMayHaveRun() throws Exception {
        FakePartner partner = partner("iron-1");
        partner.be(FakePartner.Mood.SILENT);
        discovery.list(List.of(entry("iron-1", 7, "in_service")));
        ServedRelay first = start(written(discovery.address()));
        await(() -> hasPicture(1));
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

    /** Over a boot after which the wall clock stands two hours back, no key window can be told to be open. */
    @Test
    void keyedMessageWhoseWindowNoClockTellsIsNotSentAgain() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveRun();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.be(FakePartner.Mood.WELL);
        SnapshotSamples.change(
                state,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(p.at().wall() + 7_200_000_000L, 1, "another"),
                        p.time() + 7_200_000_000L,
                        p.revision(),
                        p.endpoints()));
        ServedRelay relay = start(relayFile());
        assertTrue(relay.log().contains("the wall clock is -7"), relay.log());
        await(() -> discovery.notices().stream().anyMatch(n -> n.ref().equals("k1")));
        assertEquals(1, partner.effects().get("k1"), "it may have run, and the window may be over");
    }

    /** The same where nothing was set: the repeat goes out, as its key window is open. */
    @Test
    void keyedMessageIsSentAgainWithinItsWindow() throws Exception {
        ServedRelay first = startWithAnAttemptThatMayHaveRun();
        FakePartner partner = partners.get("iron-1");
        first.close();
        partner.be(FakePartner.Mood.WELL);
        start(relayFile());
        await(() -> partner.effects().get("k1") == 2);
    }
}
