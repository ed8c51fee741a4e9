package loftflow.server;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static loftflow.server.RelayProcess.list;
import static loftflow.server.RelayProcess.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import loftflow.cli.Main;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which input from clients and discovery is accepted. */
class AcceptorTest extends RelayTestBase {
    /** The next update in response to discovery's watch request, sent once; null if there is none. */
    private final AtomicReference<String> nextUpdate = new AtomicReference<>();

    private volatile String fullList;

    @BeforeEach
    void prepare() throws IOException {
        prepare(new ScriptedPeer(this::discover), ScriptedPeer.always(status(200)));
        fullList = list(1, true, target("h1", 7, "one", "in_service", host.address()));
    }

    private String discover(ScriptedPeer.Request request) {
        if (request.line().startsWith("POST")) {
            return status(204);
        }
        String update = nextUpdate.getAndSet(null);
        if (update != null) {
            // Later requests for the full list receive the latest one.
            fullList = update.contains("\"all\":true") ? update : fullList;
            return answer(200, update);
        }
        return request.line().contains("after=") ? ScriptedPeer.SILENCE : answer(200, fullList);
    }

    @Test
    void invalidRequestsAreRejected() throws IOException {
        relay.start();
        await(() -> discovery.requests.stream().anyMatch(r -> r.line().contains("after=1&")));
        String valid = RelayProcess.message("x1", "keyed", 7, 1000, "hello");
        assertEquals(400, relay.submit("x2", "nosuch", 7));
        assertEquals(400, relay.submit("x3", "safe", 99));
        assertEquals(400, relay.exchange(valid.replace("dest=7", "dest=")).status());
        assertEquals(
                400, relay.exchange(valid.replace("dest=7", "dest=99999999999")).status());
        assertEquals(
                400,
                relay.exchange(valid.replace("Idempotency-Key: key-x1\r\n", "")).status());
        assertEquals(400, relay.exchange(valid.replace("X-Call-Id: x1\r\n", "")).status());
        assertEquals(
                400,
                relay.exchange(valid.replace("Budget-Ms: 1000", "Budget-Ms: -1"))
                        .status());
        assertEquals(400, relay.exchange(valid.replace("acme", "nobody")).status());
        assertEquals(413, relay.submit("x4", "safe", 7, 1000, "x".repeat((64 << 10) + 1)));
        assertEquals(
                404, relay.exchange("GET /nosuch HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(405, relay.exchange("GET /api HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(400, relay.exchange("\u0001\u0002\u0003\r\n\r\n").status());
        assertEquals(202, relay.submit("x5", "safe", 7, 20_000, "x".repeat(64 << 10)));
        await(() -> !host.requests.isEmpty());
        assertEquals("x5", host.requests.get(0).id());
    }

    @Test
    void connectionServesConsecutiveAndPipelinedRequests() throws IOException {
        relay.start();
        try (Socket socket = relay.connect()) {
            assertEquals(
                    400,
                    RelayProcess.exchange(socket, RelayProcess.message("o1", "no", 7, 9, "x"))
                            .status());
            String pipelined = RelayProcess.message("o2", "safe", 7, 20_000, "x")
                    + RelayProcess.message("o3", "safe", 7, 20_000, "x");
            assertEquals(202, RelayProcess.exchange(socket, pipelined).status());
            assertEquals(202, RelayProcess.exchange(socket, "").status());
        }
        await(() -> host.requests.size() == 2);
    }

    @Test
    void messageSentTwiceWithOneIdIsAcceptedOnce() throws IOException {
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.start();
        assertEquals(202, relay.submit("same", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals(202, relay.submit("same", "safe", 7));
        assertEquals(202, relay.submit("other", "safe", 7));
        await(() -> host.requests.size() == 2);
        assertEquals("other", host.requests.get(1).id());
    }

    @Test
    void messageIsRejectedWhenTheJournalIsFull() throws IOException {
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.withDiskMib(0.1).start();
        assertEquals(202, relay.submit("r1", "safe", 7, 20_000, "x".repeat(20_000)));
        assertEquals(503, relay.submit("r2", "safe", 7, 20_000, "x".repeat(20_000)));
    }

    @Test
    void drainingHostReceivesNoNewMessages() throws IOException {
        try (ScriptedPeer other = ScriptedPeer.always(status(200))) {
            relay.start();
            await(() -> discovery.requests.stream().anyMatch(r -> r.line().contains("after=1&")));
            nextUpdate.set(list(
                    2,
                    false,
                    target("h1", 7, "one", "terminating", host.address()),
                    target("h2", 7, "one", "in_service", other.address()),
                    target("h3", 9, "one", "in_service", other.address())));
            await(() -> discovery.requests.stream().anyMatch(r -> r.line().contains("after=2&")));
            for (int i = 0; i < 10; i++) {
                assertEquals(202, relay.submit("d" + i, "safe", 7));
            }
            await(() -> other.count("POST /receive") == 10);
            assertEquals(0, host.count("POST"));
            assertEquals(202, relay.submit("new", "safe", 9), "the update adds destination 9");
        }
    }

    @Test
    void malformedListsFromDiscoveryAreIgnored() throws IOException {
        relay.start();
        await(() -> discovery.requests.stream().anyMatch(r -> r.line().contains("after=1&")));
        nextUpdate.set("{\"rev\":[");
        await(() -> relay.log().contains("discovery: response skipped"));
        nextUpdate.set(list(
                5,
                true,
                "{\"uid\":4}",
                "7",
                target("h1", 7, "one", "asleep", host.address()),
                target("h1", 7, "one", "in_service", host.address()),
                target("h9", 9, "one", "in_service", "nosuch.example:1")));
        await(() -> discovery.requests.stream().anyMatch(r -> r.line().contains("after=5&")));
        assertEquals(202, relay.submit("m1", "safe", 7));
        await(() -> host.requests.size() == 1);
    }

    @Test
    void invalidConfigurationOrCommandFailsWithASingleLine() throws IOException, InterruptedException {
        Path config = Files.writeString(folder.resolve("bad.json"), "{\"seed\":\"zz\",\"settings\":{},\"limits\":{}}");
        for (String mode : new String[] {"serve", "nosuch"}) {
            ProcessBuilder builder = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin/java").toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName(),
                            mode)
                    .redirectErrorStream(true);
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("EDGE_STATE", folder.toString());
            Process process = builder.start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, process.waitFor());
            assertTrue(output.startsWith("loftflow: "), output);
            assertEquals(1, output.lines().count(), output);
        }
    }
}
