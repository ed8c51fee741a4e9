package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loftflow.fake.ScriptedPeer;
import loftflow.server.ConnectionCrowd.Responses;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a process with the deployed flags stays within its memory whatever hosts respond, and serves its clients. */
@Timeout(120)
class HostMemoryTest extends RelayTestBase {
    private static final int MEMORY_MIB = 128;
    private static final int DESCRIPTORS = 1024;
    private static final int CONCURRENT_CALLS = 400;
    private static final long PLAY_NANOS = TimeUnit.SECONDS.toNanos(4);
    /** The circuit of an endpoint opens after a few failures. */
    private static final int OTHER_ENDPOINTS = 200;

    private static final int HEAD_BYTES = 8000;

    private static final int CLIENTS = 100;
    private static final int MESSAGES_PER_CLIENT = 100;
    /** A response of which nothing arrives for 0.5 s is given up. */
    private static final int CONTINUE_MILLIS = 200;

    /** How hosts respond to each call, and what they send next on each connection. */
    enum Behaviour {
        SHORT_FIELDS("HTTP/1.1 200 X\r\n" + "a:\r\n".repeat(HEAD_BYTES / 4), "b:\r\n"),
        LONG_FIELD("HTTP/1.1 200 X\r\na: " + "x".repeat(HEAD_BYTES), "x"),
        SHORT_TRAILERS(
                "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(HEAD_BYTES / 4),
                "b:\r\n"),
        HALF_BODY("HTTP/1.1 200 X\r\nContent-Length: 65536\r\n\r\n" + "x".repeat(65_000), "x"),
        COPIES(
                "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".repeat(200));

        private final String response;
        private final String continuation;

        Behaviour(String response, String continuation) {
            this.response = response;
            this.continuation = continuation;
        }
    }

    @BeforeEach
    void prepareRelay() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(ScriptedPeer.SILENCE));
    }

    /** Guards against a process that ends or outgrows its limit because of what hosts have sent in part or in excess. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "COPIES")
    void responsesAreHeldInTheMemoryOfTheProcess(Behaviour behaviour) throws Exception {
        play(behaviour);
    }

    /** Guards against a heap that is filled, or clients that wait, while hosts send copies of their responses. */
    @Tag("known-red")
    @Test
    void copiesOfResponsesAreHeldInTheMemoryOfTheProcess() throws Exception {
        play(Behaviour.COPIES);
    }

    private void play(Behaviour behaviour) throws Exception {
        host.answer(request -> behaviour.response);
        for (int i = 0; i < OTHER_ENDPOINTS; i++) {
            relay.withKnownEndpoint("other-" + i, 7, "one", host);
        }
        relay.withDeployedCommand(MEMORY_MIB, DESCRIPTORS)
                .withMaxOpenMessages(5000)
                .withConcurrentCalls(CONCURRENT_CALLS)
                .withDiskMib(200)
                .start();
        Thread sender = new Thread(() -> sendMore(behaviour.continuation));
        sender.setDaemon(true);
        sender.start();
        try (SteadyClient client = new SteadyClient(relay);
                ConnectionCrowd clients = new ConnectionCrowd(
                        relay.address(), CLIENTS, Responses.READ, HostMemoryTest::messagesOfClient)) {
            client.submitFor(PLAY_NANOS);
            int peakMib = relay.peakResidentMib();
            System.out.println(behaviour + ": peak MiB " + peakMib + ", calls " + host.requests.size()
                    + ", connections to hosts " + host.connections.size() + ", clients " + clients.openedCount() + ", "
                    + client);
            assertTrue(relay.isAlive(), relay::log);
            assertTrue(peakMib <= MEMORY_MIB, "resident MiB: " + peakMib);
            assertTrue(client.wasAnswered(), client::toString);
        }
    }

    private static byte[] messagesOfClient(int connection) {
        StringBuilder messages = new StringBuilder();
        for (int i = 0; i < MESSAGES_PER_CLIENT; i++) {
            messages.append(RelayProcess.message("h" + connection + "-" + i, "safe", 7, 20_000, "x"));
        }
        return messages.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private void sendMore(String continuation) {
        byte[] bytes = continuation.getBytes(StandardCharsets.ISO_8859_1);
        while (relay.isAlive()) {
            host.connections.forEach(connection -> send(connection, bytes));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CONTINUE_MILLIS));
        }
    }

    private static void send(Socket connection, byte[] bytes) {
        try {
            connection.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The relay has closed the connection.
        }
    }
}
