package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import loftflow.server.ConnectionCrowd.Responses;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a process with the deployed flags stays within its memory whatever its clients send, and serves others. */
@Timeout(120)
class ClientMemoryTest extends RelayTestBase {
    private static final int DESCRIPTORS = 1024;
    private static final int MEMORY_MIB = 128;
    private static final long CROWD_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int HEAD_BYTES = 8000;
    private static final String MESSAGE_HEAD =
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Class: safe\r\nX-Caller: acme\r\n"
                    + "X-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\n";

    /** Messages of this class are rejected, so that they don't use up the limit on open messages. */
    private static final String UNKNOWN_CLASS_HEAD = MESSAGE_HEAD.replace("safe", "none");

    /** What a badly behaved client sends. */
    enum Behaviour {
        SHORT_FIELDS,
        KNOWN_FIELDS,
        SHORT_TRAILERS,
        LONG_LINE,
        HALF_BODY,
        PIPELINED_HEADS,
        PIPELINED_BODIES,
        UNREAD_RESPONSES;

        private byte[] bytes(int connection) {
            return text(connection).getBytes(StandardCharsets.ISO_8859_1);
        }

        private String text(int connection) {
            return switch (this) {
                case SHORT_FIELDS -> MESSAGE_HEAD + shortFields(HEAD_BYTES - MESSAGE_HEAD.length());
                case KNOWN_FIELDS -> MESSAGE_HEAD + "x-caller:\r\n".repeat((HEAD_BYTES - MESSAGE_HEAD.length()) / 11);
                case SHORT_TRAILERS -> MESSAGE_HEAD + "X-Call-Id: t" + connection
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + shortFields(HEAD_BYTES);
                case LONG_LINE -> MESSAGE_HEAD + "a: " + "x".repeat(HEAD_BYTES - MESSAGE_HEAD.length());
                case HALF_BODY -> MESSAGE_HEAD + "X-Call-Id: b" + connection + "\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(60_000);
                case PIPELINED_HEADS -> (UNKNOWN_CLASS_HEAD + "X-Call-Id: p" + connection
                                + "\r\nContent-Length: 0\r\nX-Caller: "
                                + "x".repeat(HEAD_BYTES - 2 * MESSAGE_HEAD.length()) + "\r\n\r\n")
                        .repeat(20);
                case PIPELINED_BODIES -> (UNKNOWN_CLASS_HEAD + "X-Call-Id: q" + connection
                                + "\r\nContent-Length: 4000\r\n\r\n" + "x".repeat(4000))
                        .repeat(20);
                case UNREAD_RESPONSES -> "GET /none HTTP/1.1\r\nHost: a\r\n\r\n".repeat(10_000);
            };
        }

        private static String shortFields(int bytes) {
            StringBuilder fields = new StringBuilder();
            for (int i = 0; fields.length() < bytes; i++) {
                fields.append((char) ('a' + i % 26)).append(":\r\n");
            }
            return fields.toString();
        }
    }

    @BeforeEach
    void prepareRelay() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(ScriptedPeer.status(200)));
    }

    /** Guards against a process that ends or outgrows its limit because of what many clients have sent in part. */
    @ParameterizedTest
    @CsvSource({
        "SHORT_FIELDS, 400, 128",
        "SHORT_FIELDS, 900, 128",
        "SHORT_FIELDS, 900, 96",
        "KNOWN_FIELDS, 900, 128",
        "SHORT_TRAILERS, 900, 128",
        "LONG_LINE, 900, 128",
        "HALF_BODY, 900, 128",
        "HALF_BODY, 900, 96",
        "KNOWN_FIELDS, 900, 80",
        "PIPELINED_HEADS, 500, 128",
        "PIPELINED_BODIES, 500, 128",
        "UNREAD_RESPONSES, 500, 128"
    })
    void crowdIsHeldInTheMemoryOfTheProcessAndOthersAreServed(Behaviour behaviour, int size, int memoryMib)
            throws Exception {
        relay.withDeployedCommand(memoryMib, DESCRIPTORS)
                .withMaxOpenMessages(155)
                .start();
        relay.submitUntilAccepted("first", "safe", 7);
        Responses responses = behaviour == Behaviour.UNREAD_RESPONSES ? Responses.IGNORE : Responses.READ;
        try (SteadyClient client = new SteadyClient(relay);
                ConnectionCrowd crowd = new ConnectionCrowd(relay.address(), size, responses, behaviour::bytes)) {
            client.submitFor(CROWD_NANOS);
            int peakMib = relay.peakResidentMib();
            System.out.println(behaviour + " " + size + ": peak MiB " + peakMib + ", connections " + crowd.openedCount()
                    + ", " + client);
            assertTrue(relay.isAlive(), relay::log);
            assertTrue(peakMib <= memoryMib, "resident MiB: " + peakMib);
            assertTrue(client.wasServed(), client::toString);
        }
    }

    /** Guards against a process that ends because of large messages which it has accepted and can't deliver. */
    @Test
    void largeMessagesThatCannotBeDeliveredAreHeldInTheMemoryOfTheProcess() throws Exception {
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.withDeployedCommand(MEMORY_MIB, DESCRIPTORS)
                .withMaxOpenMessages(10_000)
                .withDiskMib(2000)
                .start();
        try (SteadyClient client = new SteadyClient(relay);
                ConnectionCrowd crowd =
                        new ConnectionCrowd(relay.address(), 60, Responses.READ, ClientMemoryTest::largeMessages)) {
            client.submitFor(CROWD_NANOS);
            int peakMib = relay.peakResidentMib();
            System.out.println(
                    "large messages: peak MiB " + peakMib + ", connections " + crowd.openedCount() + ", " + client);
            assertTrue(relay.isAlive(), relay::log);
            assertTrue(peakMib <= MEMORY_MIB, "resident MiB: " + peakMib);
            assertTrue(client.wasAnswered(), client::toString);
        }
    }

    private static byte[] largeMessages(int connection) {
        StringBuilder messages = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            messages.append(RelayProcess.message("l" + connection + "-" + i, "safe", 7, 20_000, "x".repeat(64 << 10)));
        }
        return messages.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
