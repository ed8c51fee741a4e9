package loftflow.listener.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests requests that two implementations, such as the relay and a proxy in front of it, may parse differently (RFC
 * 9112). A malformed request is rejected and its connection closed, since the start of the next request is unknown. A
 * well-formed one is accepted with exactly its body, and the next request on the connection is parsed after it.
 */
@Timeout(60)
class AmbiguousRequestTest extends HttpListenerTestBase {
    private static final int RECEIVE_TIMEOUT_MILLIS = 6_000;
    private static final int ACCEPTED = 202;
    private static final int MALFORMED = 400;
    private static final int NO_RESPONSE = -1;
    private static final String REQUEST_LINE = "POST /api HTTP/1.1\r\n";
    private static final String LENGTH = "Content-Length: 1\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** The bytes of a request, and the rule that determines the expected response. */
    private record Case(String rule, String bytes) {
        @Override
        public String toString() {
            return rule + ": "
                    + bytes.replace("\r", "\\r")
                            .replace("\n", "\\n")
                            .replace("\t", "\\t")
                            .replace("\0", "\\0");
        }
    }

    @BeforeEach
    void start() throws InterruptedException {
        listen();
    }

    // ---- requests

    private static String fields(String id) {
        return "Host: app.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: safe\r\nX-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\n";
    }

    /** Returns a well-formed request with the body {@code x}. */
    private static String request(String id) {
        return REQUEST_LINE + fields(id) + LENGTH + "\r\nx";
    }

    private static Case withRequestLine(String rule, String line) {
        return new Case(rule, request("m").replace(REQUEST_LINE, line));
    }

    /** Returns a request with an additional line before Content-Length. */
    private static Case withField(String rule, String line) {
        return new Case(rule, request("m").replace(LENGTH, line + "\r\n" + LENGTH));
    }

    /** Returns a request with other lines in place of Content-Length, whose body contains a second request. */
    private static Case withLength(String rule, String lines) {
        String body = "0\r\n\r\n" + request("smuggled");
        return new Case(
                rule, REQUEST_LINE + fields("m") + lines.replace("LENGTH", "" + body.length()) + "\r\n\r\n" + body);
    }

    private static Case withChunks(String rule, String chunks) {
        return new Case(rule, REQUEST_LINE + fields("m") + CHUNKED + "\r\n" + chunks + request("smuggled"));
    }

    // ---- expected responses

    /** RFC 9112, sections 2.2, 3, 5 and 6.3: an error status, usually 400, and the close of the connection. */
    static Stream<Case> malformed() {
        String fieldLine = "RFC 9112, 5: field-line = field-name \":\" OWS field-value OWS";
        String space = "RFC 9112, 5.1: white space before the colon is answered 400";
        String value = "RFC 9110, 5.5: CR, LF and NUL in a value are invalid";
        String length = "RFC 9112, 6.3: an invalid Content-Length is answered 400";
        String coding = "RFC 9112, 6.1 and 6.3: a final coding other than chunked leaves the length undefined";
        String chunk = "RFC 9112, 7.1: chunk = chunk-size [ chunk-ext ] CRLF chunk-data CRLF";
        String line = "RFC 9112, 3: request-line = method SP request-target SP HTTP-version";
        return Stream.of(
                withField(fieldLine, "no colon here"),
                withField(fieldLine, "X-A"),
                withField(fieldLine, "X A: 1"),
                withField(fieldLine, "X\tA: 1"),
                withField(fieldLine, "X(A): 1"),
                withField(fieldLine, ": 1"),
                withField(space, "X-A : 1"),
                withField(space, "X-A\t: 1"),
                withField(value, "X-A: a\0b"),
                withField(value, "X-A: a\rContent-Length: 9"),
                withField(value, "X-A: a\r\rb"),
                withLength(space, "Content-Length : LENGTH"),
                withLength(space, "Content-Length: 5\r\nContent-Length : LENGTH"),
                withLength(space, "Content-Length\t: LENGTH"),
                withLength(length, "Content-Length: 5\r\nContent-Length: LENGTH"),
                withLength(length, "Content-Length: 5, LENGTH"),
                withLength(length, "Content-Length: LENGTH, LENGTH"),
                withLength(length, "Content-Length: +5"),
                withLength(length, "Content-Length: -5"),
                withLength(length, "Content-Length: 0x5"),
                withLength(length, "Content-Length: 5 5"),
                withLength(length, "Content-Length: 5\r\n 5"),
                withLength(length, "Content-Length: 5;"),
                withLength(length, "Content-Length: \"5\""),
                withLength(length, "Content-Length:"),
                withLength(length, "Content-Length: 99999999999999999999"),
                withLength(length, "Content-Length: \u00665"),
                withLength(coding, "Transfer-Encoding: identity"),
                withLength(coding, "Transfer-Encoding: gzip, chunked"),
                withLength(coding, "Transfer-Encoding: chunked, identity"),
                withLength(coding, "Transfer-Encoding: xchunked"),
                withLength(coding, "Transfer-Encoding: \"chunked\""),
                withLength(coding, "Transfer-Encoding: \u000bchunked"),
                withLength(coding, "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity"),
                withLength(coding, "Transfer-Encoding: chunked\r\nContent-Length: LENGTH"),
                withLength(coding, "Content-Length: LENGTH\r\nTransfer-Encoding: chunked"),
                withLength(coding, "Content-Length: LENGTH\r\nTransfer-Encoding: identity"),
                withLength(coding, "Content-Length: LENGTH\r\nTransfer-Encoding:"),
                withLength(space, "Transfer-Encoding : chunked"),
                withLength(space, "Content-Length: LENGTH\r\nTransfer-Encoding : chunked"),
                withChunks(chunk, "0x1\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "+1\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "-1\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "g\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1g\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1 1\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, ";a=b\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "100000001\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "10000000000000001\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nxy\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nx0\r\n\r\n"),
                withChunks(chunk, "1;a\nb\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1;a\rb\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nx\r\n0;a\nb\r\n\r\n"),
                withChunks(fieldLine, "1\r\nx\r\n0\r\nno colon here\r\n\r\n"),
                withChunks(fieldLine, "1\r\nx\r\n0\r\nX A: 1\r\n\r\n"),
                withChunks(space, "1\r\nx\r\n0\r\nX-A : 1\r\n\r\n"),
                withRequestLine(line, "POST /api\r\n"),
                withRequestLine(line, "POST /api HTTP/1.1 x\r\n"),
                withRequestLine(line, "POST /api x HTTP/1.1\r\n"),
                withRequestLine(line, "POST /api HTTP/1.10\r\n"),
                withRequestLine(line, "POST /api HTTP/01.1\r\n"),
                withRequestLine(line, "POST /api HTTQ/1.1\r\n"),
                withRequestLine(line, "POST /api HTTP/1.2\r\n"),
                withRequestLine(line, "POST /api HTTP/2.0\r\n"),
                withRequestLine(line, "\0POST /api HTTP/1.1\r\n"),
                withRequestLine(line, "P(ST /api HTTP/1.1\r\n"),
                withRequestLine("RFC 9112, 6.1: HTTP/1.0 has no chunked coding", "POST /api HTTP/1.0\r\n" + CHUNKED),
                withRequestLine("HTTP/1.0 with two lengths", "POST /api HTTP/1.0\r\nContent-Length: 9\r\n"));
    }

    /** PROTOCOL, "Clients to relays": one id, key, timeout, class and destination; no header may hold a list. */
    static Stream<Case> repeatedFields() {
        String rule = "RFC 9110, 5.2: the value of a field that stands twice is the list of both";
        return Stream.of(
                withField(rule, "X-Call-Id: other"),
                withField(rule, "Idempotency-Key: k1\r\nIdempotency-Key: k2"),
                withField(rule, "X-Budget-Ms: 1"),
                withField(rule, "X-Call-Class: other"),
                withField(rule, "X-Consignee: dest=8"));
    }

    static Stream<Case> badHosts() {
        String rule = "RFC 9112, 3.2: no Host, or more than one, is answered 400";
        return Stream.of(
                new Case(rule, request("m").replace("Host: app.svc\r\n", "")), withField(rule, "Host: other.svc"));
    }

    /** RFC 9112, 2.2: the request is rejected or the line is skipped; the line must not be parsed as a header field. */
    static Stream<Case> spaceBeforeTheFirstField() {
        String rule = "RFC 9112, 2.2: white space before the first field";
        return Stream.of(
                withRequestLine(rule, REQUEST_LINE + " X-Call-Id: other\r\n"),
                withRequestLine(rule, REQUEST_LINE + "\tContent-Length: 200\r\n"),
                withRequestLine(rule, REQUEST_LINE + " Transfer-Encoding: chunked\r\n"),
                withRequestLine(rule, REQUEST_LINE + " \r\n"));
    }

    /** Requests that a server may either reject or parse as described by the rule. */
    static Stream<Case> tolerable() {
        String fold = "RFC 9112, 5.2: a folded line is rejected, or the fold is parsed as a space";
        String lineFeed = "RFC 9112, 2.2: a bare LF may end a line of the head";
        String chunkLine =
                "RFC 9112, 7.1: a bare LF does not end a chunk line; accepting it must not change the message";
        String space = "RFC 9112, 3: any white space may separate the parts of the request line";
        return Stream.of(
                withRequestLine(space, "POST  /api HTTP/1.1\r\n"),
                withRequestLine(space, "POST\t/api HTTP/1.1\r\n"),
                withRequestLine(space, "POST\u000b/api HTTP/1.1\r\n"),
                withRequestLine(space, "POST /api\rHTTP/1.1\r\n"),
                withField(fold, "X-A: a\r\n b"),
                withField(fold, "X-A: a\r\n\tContent-Length: 200"),
                withField(fold, "X-A: a\r\n Transfer-Encoding: chunked"),
                withField(fold, "X-A:\r\n a"),
                new Case(fold, request("m").replace(LENGTH, "Content-Length:\r\n 1\r\n")),
                new Case(lineFeed, request("m").replace("safe\r\n", "safe\n")),
                new Case(lineFeed, request("m").replace("\r\n", "\n")),
                withField(lineFeed, "X-A: a\nX-B: b"),
                new Case(
                        fold, REQUEST_LINE + fields("m") + "Transfer-Encoding:\r\n chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
                new Case(chunkLine, REQUEST_LINE + fields("m") + CHUNKED + "\r\n1\nx\r\n0\r\n\r\n"),
                new Case(chunkLine, REQUEST_LINE + fields("m") + CHUNKED + "\r\n1\r\nx\n0\r\n\r\n"),
                new Case(chunkLine, REQUEST_LINE + fields("m") + CHUNKED + "\r\n1\r\nx\r\n0\n\n"),
                new Case(chunkLine, REQUEST_LINE + fields("m") + CHUNKED + "\r\n 1\r\nx\r\n0\r\n\r\n"),
                new Case(chunkLine, REQUEST_LINE + fields("m") + CHUNKED + "\r\n1 \r\nx\r\n0\r\n\r\n"));
    }

    static Stream<Case> truncated() {
        String rule = "RFC 9112, 8";
        String chunks = REQUEST_LINE + fields("m") + CHUNKED + "\r\n";
        return Stream.of(
                new Case(rule, REQUEST_LINE + fields("m")),
                new Case(rule, REQUEST_LINE + fields("m") + LENGTH),
                new Case(rule, REQUEST_LINE + fields("m") + LENGTH + "\r"),
                new Case(rule, REQUEST_LINE + fields("m") + LENGTH + "\r\n"),
                new Case(rule, request("m").replace(LENGTH, "Content-Length: 2\r\n")),
                new Case(rule, chunks),
                new Case(rule, chunks + "1\r\nx"),
                new Case(rule, chunks + "1\r\nx\r\n"),
                new Case(rule, chunks + "1\r\nx\r\n0"),
                new Case(rule, chunks + "1\r\nx\r\n0\r\n"),
                new Case(rule, chunks + "1\r\nx\r\n0\r\nX-A: 1\r\n"));
    }

    /** Well-formed requests in unusual forms. */
    static Stream<Case> wellFormed() {
        String chunk = "RFC 9112, 7.1: extensions and trailers are ignored";
        String head = REQUEST_LINE + fields("m") + CHUNKED + "\r\n";
        return Stream.of(
                new Case("usual", request("m")),
                new Case("RFC 9112, 2.2: an empty line before a request is ignored", "\r\n" + request("m")),
                withField("RFC 9110, 5.6.3: optional white space", "X-A:\t 1 \t"),
                new Case("RFC 9110, 5.6.3", request("m").replace(LENGTH, "Content-Length:\t1 \r\n")),
                new Case(
                        "RFC 9110, 5.1: names are case-insensitive",
                        request("m").replace(LENGTH, "cOnTENT-lENGTH:1\r\n")),
                new Case("leading zeros are digits", request("m").replace(LENGTH, "Content-Length: 0001\r\n")),
                new Case(
                        "RFC 9112, 7: codings are case-insensitive",
                        head.replace("chunked", "CHUNKED") + "1\r\nx\r\n0\r\n\r\n"),
                new Case(chunk, head + "1\r\nx\r\n0\r\n\r\n"),
                new Case(chunk, head + "1;a=b;c=\"d\"\r\nx\r\n0;e\r\n\r\n"),
                new Case(chunk, head + "0001\r\nx\r\n000\r\n\r\n"),
                new Case(chunk, head + "1\r\nx\r\n0\r\nX-Call-Id: other\r\nContent-Length: 9\r\n\r\n"));
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedRequestIsRejectedAndEndsItsConnection(Case request) throws IOException {
        assertRejected(request);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("repeatedFields")
    void repeatedFieldOfAMessageIsRejected(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes());
            assertEquals(MALFORMED, readStatus(client), () -> "accepted " + accepted());
            assertEquals(List.of(), messageAcceptor.messageIds());
        }
    }

    /** RFC 9112, 2.3: the protocol name is case-sensitive. */
    @Tag("known-red")
    @Test
    void requestWithTheVersionInLowerCaseIsRejected() throws IOException {
        assertRejected(withRequestLine("RFC 9112, 2.3", "POST /api http/1.1\r\n"));
    }

    /** RFC 9112, 8: a request is incomplete if its connection closes before its end. */
    @ParameterizedTest
    @MethodSource("truncated")
    void truncatedRequestIsNotAccepted(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes());
            client.shutdownOutput();
            assertNotEquals(ACCEPTED, readStatus(client));
            assertEquals(List.of(), messageAcceptor.messageIds());
        }
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("badHosts")
    void requestWithoutOneHostIsRejected(Case request) throws IOException {
        assertRejected(request);
    }

    @ParameterizedTest
    @MethodSource("spaceBeforeTheFirstField")
    void lineBeginningWithWhiteSpaceIsNotParsedAsAField(Case request) throws IOException {
        assertRejectedOrReadExactly(request);
    }

    @ParameterizedTest
    @MethodSource("tolerable")
    void tolerableRequestIsRejectedOrParsedExactly(Case request) throws IOException {
        assertRejectedOrReadExactly(request);
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void wellFormedRequestIsParsedExactly(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes());
            assertEquals(ACCEPTED, readStatus(client));
            assertReadExactly(client);
        }
    }

    private void assertRejected(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes());
            int status = readStatus(client);
            assertTrue(status >= 400, "status " + status + ", accepted " + accepted());
            assertEquals(NO_RESPONSE, readStatus(client), "and the connection ends");
            assertEquals(List.of(), messageAcceptor.messageIds());
        }
    }

    private void assertRejectedOrReadExactly(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes());
            int status = readStatus(client);
            if (status == ACCEPTED) {
                assertReadExactly(client);
            } else {
                assertTrue(status >= 400, "status " + status + ", accepted " + accepted());
                assertEquals(NO_RESPONSE, readStatus(client), "and the connection ends");
                assertEquals(List.of(), messageAcceptor.messageIds());
            }
        }
    }

    /** Asserts that the message was accepted with its own id and body, and the next request after it. */
    private void assertReadExactly(Socket client) throws IOException {
        send(client, request("next"));
        assertEquals(ACCEPTED, readStatus(client), "status of the next request");
        assertEquals(List.of("m=x", "next=x"), accepted());
    }

    /** Returns the id and the body of each accepted message. */
    private List<String> accepted() {
        return List.copyOf(messageAcceptor.submissions).stream()
                .map(submission -> submission.message().content())
                .map(content -> content.messageId() + "=" + new String(content.body(), StandardCharsets.ISO_8859_1))
                .toList();
    }

    @Override
    Socket connect() throws IOException {
        Socket client = super.connect();
        client.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
        return client;
    }

    /** Reads a response, which has no body; returns its status, or {@link #NO_RESPONSE} if the connection closes. */
    private static int readStatus(Socket client) throws IOException {
        StringBuilder response = new StringBuilder();
        try {
            while (!response.toString().endsWith("\r\n\r\n")) {
                int next = client.getInputStream().read();
                if (next < 0) {
                    return NO_RESPONSE;
                }
                response.append((char) next);
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("received neither a response nor the close of the connection", e);
        } catch (SocketException e) {
            return NO_RESPONSE;
        }
        return Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }
}
