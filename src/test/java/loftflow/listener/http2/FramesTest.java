package loftflow.listener.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http2.Http2Headers;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the responses, resets and GOAWAY that valid and invalid frames of clients lead to. */
@Timeout(60)
class FramesTest extends Http2TestBase {
    /** Sends the frames of a case, and returns the id of the stream under test. */
    private interface ClientAction {
        int perform(RawHttp2Client client) throws IOException;
    }

    /** Frames to send, and the expected response status, reset error or GOAWAY error; {@link #NONE} for none. */
    private record Case(String name, ClientAction action, int status, int reset, int goAway) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final int NONE = -1;
    private static final byte[] LARGE_CHUNK = new byte[16 << 10];

    @BeforeEach
    void prepare() {
        serve(defaultOptions());
    }

    private static Case answered(String name, int status, ClientAction action) {
        return new Case(name, action, status, NONE, NONE);
    }

    private static Case resetsStream(String name, int error, ClientAction action) {
        return new Case(name, action, NONE, error, NONE);
    }

    private static Case endsConnection(String name, int error, ClientAction action) {
        return new Case(name, action, NONE, NONE, error);
    }

    private static Http2Headers head(String method, String path) {
        return RawHttp2Client.message("r").method(method).path(path);
    }

    static Stream<Case> cases() {
        return Stream.of(
                answered("a message", 202, c -> c.send(RawHttp2Client.message("m"), "x")),
                answered("a message with no body", 202, c -> c.sendHeaders(RawHttp2Client.message("m"), true)),
                answered("a body in several DATA frames, with padding and an empty last one", 202, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m").add("content-length", "3"), false);
                    c.sendFrame(RawHttp2Client.DATA, RawHttp2Client.PADDED, id, new byte[] {2, 'a', 'b', 0, 0});
                    c.sendData(id, new byte[] {'c'}, false);
                    c.sendData(id, new byte[0], true);
                    return id;
                }),
                answered("trailers", 202, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m"), false);
                    c.sendData(id, new byte[] {'a'}, false);
                    c.sendFrame(
                            RawHttp2Client.HEADERS,
                            RawHttp2Client.END_HEADERS | RawHttp2Client.END_STREAM,
                            id,
                            c.encodeHeaders(
                                    id,
                                    new io.netty.handler.codec.http2.DefaultHttp2Headers(false).add("checksum", "1")));
                    return id;
                }),
                answered("the largest body, of known length", 202, c -> sendLargeBody(c, true, 4)),
                answered("the largest body, of unknown length", 202, c -> sendLargeBody(c, false, 4)),
                answered(
                        "a body above the limit, of known length",
                        413,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add("content-length", "65537"), false)),
                answered("a body above the limit, of unknown length", 413, c -> {
                    int id = sendChunks(c, RawHttp2Client.message("m"), 4, false);
                    c.await(() -> c.windows.get(id) > 65_536 - 4_096);
                    c.sendData(id, new byte[1], false);
                    return id;
                }),
                // RFC 9113, section 6.9.1, allows either kind of error; Netty ends the connection with INTERNAL_ERROR.
                endsConnection("a body above its window", 2, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m"), false);
                    c.sendData(id, new byte[8 << 10], false);
                    return id;
                }),
                new Case(
                        "HEADERS on a closed stream",
                        c -> sendOnClosedStream(c, RawHttp2Client.HEADERS),
                        202,
                        STREAM_CLOSED,
                        NONE),
                new Case(
                        "DATA on a closed stream",
                        c -> sendOnClosedStream(c, RawHttp2Client.DATA),
                        202,
                        STREAM_CLOSED,
                        NONE),
                answered(
                        "an unknown class",
                        400,
                        c -> c.send(RawHttp2Client.message("m").add("x-caller", "nobody"), "x")),
                answered(
                        "no destination",
                        400,
                        c -> c.send(RawHttp2Client.message("m").set("x-consignee", "?"), "x")),
                answered("no id", 400, c -> c.send(RawHttp2Client.message(""), "x")),
                resetsStream(
                        "two lengths",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(
                                RawHttp2Client.message("m")
                                        .add("content-length", "1")
                                        .add("content-length", "2"),
                                false)),
                answered("another path", 404, c -> c.sendHeaders(head("POST", "/other"), true)),
                answered("another method", 405, c -> c.sendHeaders(head("PUT", "/api"), true)),
                answered("the readiness check", 200, c -> c.sendHeaders(head("GET", "/-/ready"), true)),
                answered("an incomplete request", 408, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m").add("content-length", "3"), false);
                    c.sendData(id, new byte[] {'a'}, false);
                    return id;
                }),
                answered(
                        "a header list above the limit",
                        431,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add("x", "a".repeat(17_000)), true)),
                resetsStream("a body longer than content-length", PROTOCOL_ERROR, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m").add("content-length", "3"), false);
                    c.sendData(id, new byte[4], true);
                    return id;
                }),
                resetsStream("a body shorter than content-length", PROTOCOL_ERROR, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m").add("content-length", "3"), false);
                    c.sendData(id, new byte[2], true);
                    return id;
                }),
                resetsStream("no path", PROTOCOL_ERROR, c -> c.sendHeaders(headWithout(":path"), true)),
                resetsStream("no scheme", PROTOCOL_ERROR, c -> c.sendHeaders(headWithout(":scheme"), true)),
                resetsStream(
                        "two paths",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add(":path", "/api"), true)),
                resetsStream(
                        "two methods",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add(":method", "GET"), true)),
                resetsStream(
                        "an unknown pseudo header",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add(":status", "200"), true)),
                resetsStream(
                        "an upper-case name",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add("X-Upper", "1"), true)),
                resetsStream(
                        "a connection-specific header of HTTP/1.1",
                        PROTOCOL_ERROR,
                        c -> c.sendHeaders(RawHttp2Client.message("m").add("connection", "close"), true)),
                resetsStream("a second head that is not a trailer", PROTOCOL_ERROR, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m"), false);
                    c.sendFrame(
                            RawHttp2Client.HEADERS,
                            RawHttp2Client.END_HEADERS,
                            id,
                            c.encodeHeaders(id, RawHttp2Client.message("m")));
                    return id;
                }),
                endsConnection("an even stream id", PROTOCOL_ERROR, c -> {
                    c.sendFrame(RawHttp2Client.HEADERS, 5, 2, c.encodeHeaders(2, RawHttp2Client.message("m")));
                    return 2;
                }),
                endsConnection("DATA on an idle stream", PROTOCOL_ERROR, c -> {
                    c.sendData(5, new byte[1], true);
                    return 5;
                }),
                endsConnection("padding longer than the frame", PROTOCOL_ERROR, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m"), false);
                    c.sendFrame(RawHttp2Client.DATA, RawHttp2Client.PADDED, id, new byte[] {9, 0, 0});
                    return id;
                }),
                endsConnection("a frame that is too large", FRAME_SIZE_ERROR, c -> {
                    int id = c.sendHeaders(RawHttp2Client.message("m"), false);
                    c.sendData(id, new byte[(16 << 10) + 1], false);
                    return id;
                }),
                endsConnection("a malformed header block", 9, c -> {
                    c.sendFrame(RawHttp2Client.HEADERS, 5, 1, new byte[] {
                        (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x7f
                    });
                    return 1;
                }),
                endsConnection("an endless header block", ENHANCE_YOUR_CALM, c -> {
                    c.sendFrame(RawHttp2Client.HEADERS, 0, 1, c.encodeHeaders(1, RawHttp2Client.message("m")));
                    c.flood(2_000, RawHttp2Client.encodeFrame(RawHttp2Client.CONTINUATION, 0, 1, new byte[0]));
                    return 1;
                }),
                endsConnection("a header block within another", PROTOCOL_ERROR, c -> {
                    c.sendFrame(RawHttp2Client.HEADERS, 0, 1, c.encodeHeaders(1, RawHttp2Client.message("m")));
                    c.sendFrame(RawHttp2Client.HEADERS, 5, 3, c.encodeHeaders(3, RawHttp2Client.message("m")));
                    return 1;
                }),
                endsConnection("a window overflow", 3, c -> {
                    c.sendFrame(RawHttp2Client.WINDOW_UPDATE, 0, 0, RawHttp2Client.encodeInt(Integer.MAX_VALUE));
                    return 0;
                }),
                endsConnection("PUSH_PROMISE from a client", PROTOCOL_ERROR, c -> {
                    c.sendFrame(5, RawHttp2Client.END_HEADERS, 1, RawHttp2Client.encodeInt(2));
                    return 1;
                }));
    }

    private static int sendLargeBody(RawHttp2Client c, boolean hasLength, int chunks) throws IOException {
        Http2Headers head = RawHttp2Client.message("m");
        return sendChunks(
                c,
                hasLength ? head.add("content-length", Integer.toString(chunks * LARGE_CHUNK.length)) : head,
                chunks,
                true);
    }

    /** Sends a head and chunks of a body within the receive windows, and returns the id of the stream. */
    private static int sendChunks(RawHttp2Client c, Http2Headers head, int chunks, boolean isWhole) throws IOException {
        int id = c.sendHeaders(head, false);
        for (int sent = 0; sent < chunks * LARGE_CHUNK.length; sent += LARGE_CHUNK.length / 4) {
            c.sendWithinWindow(
                    id,
                    new byte[LARGE_CHUNK.length / 4],
                    isWhole && sent + LARGE_CHUNK.length / 4 == chunks * LARGE_CHUNK.length);
        }
        return id;
    }

    /** Sends a frame on a stream after its response, and returns the id of the stream. */
    private static int sendOnClosedStream(RawHttp2Client c, int type) throws IOException {
        int id = c.send(RawHttp2Client.message("m"), "x");
        assertEquals(202, c.status(id));
        c.sendFrame(
                type,
                RawHttp2Client.END_HEADERS | RawHttp2Client.END_STREAM,
                id,
                type == RawHttp2Client.DATA ? new byte[1] : c.encodeHeaders(id, RawHttp2Client.message("m2")));
        return id;
    }

    private static Http2Headers headWithout(String name) {
        Http2Headers head = RawHttp2Client.message("m");
        head.remove(name);
        return head;
    }

    /**
     * Sends a header block that adds a large literal to the dynamic table and references it 1,000 times (RFC 7541,
     * sections 6.2.1 and 6.1).
     */
    private static int sendHpackBomb(RawHttp2Client c) throws IOException {
        byte[] name = "x".repeat(100).getBytes(StandardCharsets.US_ASCII);
        byte[] literal = new byte[2 + name.length + 3 + 3_500];
        literal[0] = 0x40;
        literal[1] = (byte) name.length;
        System.arraycopy(name, 0, literal, 2, name.length);
        int lengthStart = 2 + name.length;
        literal[lengthStart] = 0x7f;
        literal[lengthStart + 1] = (byte) (3_500 - 127 & 0x7f | 0x80);
        literal[lengthStart + 2] = (byte) (3_500 - 127 >> 7);
        Arrays.fill(literal, lengthStart + 3, literal.length, (byte) 'a');
        byte[] block = Arrays.copyOf(literal, literal.length + 1_000);
        Arrays.fill(block, literal.length, block.length, (byte) (0x80 | 62));
        c.sendFrame(RawHttp2Client.HEADERS, 5, 1, block);
        return 1;
    }

    @ParameterizedTest
    @MethodSource("cases")
    void framesLeadToResponseResetOrGoAway(Case expected) throws IOException {
        RawHttp2Client client = client();
        int stream = expected.action().perform(client);
        if (expected.goAway() != NONE) {
            client.awaitEnd();
            assertEquals(expected.goAway(), client.lastError());
        } else {
            client.await(() -> expected.reset() == NONE && client.statuses.containsKey(stream)
                    || client.resets.containsKey(stream));
            assertEquals(
                    expected.status(),
                    client.statuses.getOrDefault(stream, NONE),
                    expected + ", last GOAWAY error " + client.lastError());
            if (expected.reset() != NONE) {
                assertEquals(
                        expected.reset(),
                        client.resets.get(stream),
                        expected + ", last GOAWAY error " + client.lastError());
            }
            // The connection and its other streams continue.
            int next = client.send(RawHttp2Client.message("next"), "x");
            assertEquals(202, client.status(next), expected + ", last GOAWAY error " + client.lastError());
            assertEquals(List.of(), client.goAways);
        }
        assertTrue(
                client.responseCounts.values().stream().allMatch(times -> times == 1),
                "responses by stream: " + client.responseCounts);
        assertFalse(expected.status() != 202 && messageAcceptor.messageIds().contains("m"), "the message was accepted");
        assertServes("after");
    }

    @Test
    void headerListIsLimitedAfterDecompression() throws IOException {
        RawHttp2Client client = client();
        assertEquals(431, client.status(sendHpackBomb(client)));
        assertServes("after");
        assertEquals(List.of("after"), messageAcceptor.messageIds());
    }

    private record Flood(String name, byte[] frame, boolean onStream) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Flood> floods() {
        return Stream.of(
                new Flood("pings", RawHttp2Client.encodeFrame(RawHttp2Client.PING, 0, 0, new byte[8]), false),
                new Flood("settings", RawHttp2Client.encodeFrame(RawHttp2Client.SETTINGS, 0, 0, new byte[0]), false),
                new Flood("empty DATA", RawHttp2Client.encodeFrame(RawHttp2Client.DATA, 0, 1, new byte[0]), true),
                new Flood(
                        "DATA that is only padding",
                        RawHttp2Client.encodeFrame(RawHttp2Client.DATA, RawHttp2Client.PADDED, 1, new byte[] {1, 0}),
                        true),
                new Flood(
                        "priorities",
                        RawHttp2Client.encodeFrame(RawHttp2Client.PRIORITY, 0, 1, new byte[] {0, 0, 0, 3, 1}),
                        true),
                new Flood(
                        "window updates of one byte",
                        RawHttp2Client.encodeFrame(RawHttp2Client.WINDOW_UPDATE, 0, 0, RawHttp2Client.encodeInt(1)),
                        false),
                new Flood("unknown frames", RawHttp2Client.encodeFrame(0x42, 0, 0, new byte[3]), false));
    }

    @ParameterizedTest
    @MethodSource("floods")
    void floodEndsOnlyItsOwnConnection(Flood flood) throws IOException {
        RawHttp2Client other = client();
        RawHttp2Client client = client();
        if (flood.onStream()) {
            client.sendHeaders(RawHttp2Client.message("m"), false);
        }
        client.flood(100_000, flood.frame());
        client.awaitEnd();
        assertEquals(ENHANCE_YOUR_CALM, client.lastError(), flood + ": " + client.goAways.size());
        assertEquals(202, other.status(other.send(RawHttp2Client.message("other"), "x")));
        assertFalse(messageAcceptor.messageIds().contains("m"));
    }

    @Test
    void rapidResetEndsTheConnectionAndAcceptedMessagesAreBounded() throws IOException {
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        try {
            for (int i = 0; i < 100_000; i++) {
                int id = client.send(RawHttp2Client.message("m" + i), "x");
                client.reset(id);
            }
        } catch (IOException e) {
            // The relay has closed the connection.
        }
        client.awaitEnd();
        assertEquals(ENHANCE_YOUR_CALM, client.lastError());
        // The budget admits a burst of four seconds at the rate.
        assertTrue(messageAcceptor.submissions.size() <= 402 + 100, "accepted: " + messageAcceptor.submissions.size());
        assertEquals(
                Set.copyOf(messageAcceptor.messageIds()),
                messageAcceptor.disconnected,
                "accepted messages continue without their client");
        assertServes("after");
    }

    @Test
    void floodOfInvalidRequestsEndsTheConnection() throws IOException {
        RawHttp2Client client = client();
        try {
            for (int i = 0; i < 100_000; i++) {
                client.send(RawHttp2Client.message("bad id"), "x");
            }
        } catch (IOException e) {
            // The relay has closed the connection.
        }
        client.awaitEnd();
        assertEquals(ENHANCE_YOUR_CALM, client.lastError());
        assertServes("after");
        assertEquals(List.of("after"), messageAcceptor.messageIds());
    }

    @Test
    void incompleteHandshakeTimesOut() throws IOException {
        for (String start :
                List.of("", "PRI * HTT", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "POST /api HTTP/1.1\r\nHost:")) {
            RawHttp2Client client = clientWithoutPreface();
            client.write(start.getBytes(StandardCharsets.US_ASCII));
            client.awaitEnd();
            assertTrue(client.hasEnded, start);
        }
    }

    @Test
    void http11RequestGetsUpgradeRequired() throws IOException {
        RawHttp2Client client = clientWithoutPreface();
        client.write("GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        String response = new String(client.socket().getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(
                response.startsWith("HTTP/1.1 426 ") && response.toLowerCase().contains("upgrade: h2c"), response);
    }

    @Test
    void connectionLimitIsEnforcedAndANewConnectionIsServed() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            clientWithoutPreface();
        }
        assertServes("after");
        int openConnections = onLoop(() -> listener.connections().size());
        assertTrue(openConnections <= 20, "open connections: " + openConnections);
    }

    /** The JDK's HTTP client upgrades from HTTP/1.1 and then sends all requests on one connection. */
    @Test
    void jdkClientUpgradesAndSendsConcurrently() throws Exception {
        HttpClient jdk =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        List<String> ids = IntStream.range(0, 200).mapToObj(i -> "j" + i).toList();
        HttpResponse<String> first =
                jdk.send(request("first", "x".repeat(1_000)), HttpResponse.BodyHandlers.ofString());
        assertEquals(202, first.statusCode());
        assertEquals(HttpClient.Version.HTTP_2, first.version());
        List<CompletableFuture<HttpResponse<String>>> responses = ids.subList(0, 90).stream()
                .map(id -> jdk.sendAsync(request(id, "x".repeat(30_000)), HttpResponse.BodyHandlers.ofString()))
                .toList();
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            assertEquals(
                    Map.entry(202, HttpClient.Version.HTTP_2),
                    Map.entry(response.get().statusCode(), response.get().version()));
        }
        assertEquals(91, Set.copyOf(messageAcceptor.messageIds()).size());
        assertEquals(1, (int) onLoop(() -> listener.connections().size()), "one connection");
        assertTrue(messageAcceptor.submissions.stream()
                .allMatch(submission -> submission.message().content().body().length >= 1_000));
    }

    private HttpRequest request(String id, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/api"))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        RawHttp2Client.message(id).forEach(header -> {
            if (header.getKey().charAt(0) != ':') {
                request.header(header.getKey().toString(), header.getValue().toString());
            }
        });
        return request.build();
    }
}
