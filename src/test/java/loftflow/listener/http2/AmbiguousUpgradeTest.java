package loftflow.listener.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests HTTP/1.1 requests that ask for an upgrade to HTTP/2 and are truncated, malformed or ambiguous (RFC 9112). The
 * message in such a request must not be accepted, as its body may be incomplete.
 */
@Timeout(60)
class AmbiguousUpgradeTest extends Http2TestBase {
    private static final int RECEIVE_TIMEOUT_MILLIS = 3_000;
    /** The wait before a test asserts that no message was accepted. */
    private static final int NO_MESSAGE_MILLIS = 500;

    private static final String REQUEST_LINE = "POST /api HTTP/1.1\r\n";
    private static final String FIELDS = "Host: app.svc\r\nX-Call-Id: m\r\nX-Call-Class: safe\r\nX-Budget-Ms: 20000\r\n"
            + "X-Consignee: dest=7\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
            + "HTTP2-Settings: AAMAAABkAAQAAP__\r\n";
    private static final String LENGTH = "Content-Length: 1\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String REQUEST = REQUEST_LINE + FIELDS + LENGTH + "\r\nx";
    private static final String PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0";

    /** The bytes of a request, and the rule that determines the expected response. */
    private record Case(String rule, String bytes) {
        @Override
        public String toString() {
            return rule + ": "
                    + bytes.replace(FIELDS, "FIELDS ")
                            .replace("\r", "\\r")
                            .replace("\n", "\\n")
                            .replace("\0", "\\0");
        }
    }

    @BeforeEach
    void serve() {
        serve(defaultOptions());
    }

    private static Case withField(String rule, String line) {
        return new Case(rule, REQUEST.replace(LENGTH, line + "\r\n" + LENGTH));
    }

    private static Case withLength(String rule, String lines) {
        return new Case(rule, REQUEST.replace(LENGTH, lines + "\r\n"));
    }

    private static Case withChunks(String rule, String chunks) {
        return new Case(rule, REQUEST_LINE + FIELDS + CHUNKED + "\r\n" + chunks);
    }

    static Stream<Case> malformedHeads() {
        String fieldLine = "RFC 9112, 5: field-line = field-name \":\" OWS field-value OWS";
        String space = "RFC 9112, 5.1: white space before the colon is answered 400";
        String value = "RFC 9110, 5.5: CR, LF and NUL in a value are invalid";
        return Stream.of(
                withField(fieldLine, "no colon here"),
                withField(fieldLine, "X-A"),
                withField(fieldLine, "X A: 1"),
                withField(fieldLine, ": 1"),
                withField(space, "X-A : 1"),
                withField(value, "X-A: a\0b"));
    }

    static Stream<Case> unclearLengths() {
        String length = "RFC 9112, 6.3: an invalid Content-Length is answered 400";
        String coding = "RFC 9112, 6.3: a coding other than chunked leaves the length open";
        return Stream.of(
                withLength(length, "Content-Length: 1\r\nContent-Length: 2"),
                withLength(length, "Content-Length: 1, 2"),
                withLength(length, "Content-Length: +1"),
                withLength(length, "Content-Length: -1"),
                withLength(length, "Content-Length: x"),
                withLength(coding, "Content-Length: 1\r\nTransfer-Encoding: identity"),
                withLength(coding, "Transfer-Encoding: identity"),
                withLength(coding, "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n"),
                withLength(coding, "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"));
    }

    static Stream<Case> malformedChunks() {
        String chunk = "RFC 9112, 7.1: chunk = chunk-size [ chunk-ext ] CRLF chunk-data CRLF";
        return Stream.of(
                withChunks(chunk, "zz\r\nx\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nx\r\nzz\r\n\r\n"),
                withChunks(chunk, "1\r\nx\r\n0x1\r\ny\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nxy\r\n0\r\n\r\n"),
                withChunks(chunk, "1\r\nx\r\n0\r\nno colon here\r\n\r\n"));
    }

    static Stream<Case> truncated() {
        String rule = "RFC 9112, 8: a request that ends early is incomplete";
        return Stream.of(
                new Case(rule, REQUEST_LINE + FIELDS),
                new Case(rule, REQUEST_LINE + FIELDS + LENGTH),
                new Case(rule, REQUEST_LINE + FIELDS + LENGTH + "\r"),
                new Case(rule, REQUEST_LINE + FIELDS + "Content-Length: 2\r\n\r\nx"),
                withChunks(rule, ""),
                withChunks(rule, "1\r\nx\r\n"),
                withChunks(rule, "1\r\nx\r\n0\r\n"));
    }

    static Stream<Case> repeatedFields() {
        String rule = "RFC 9110, 5.2: the value of a field that stands twice is the list of both";
        return Stream.of(
                withField(rule, "X-Call-Id: other"),
                withField(rule, "X-Budget-Ms: 1"),
                withField(rule, "X-Consignee: dest=8"));
    }

    static Stream<Case> notToBeUpgraded() {
        return Stream.of(
                new Case("RFC 9110, 7.8: Upgrade in HTTP/1.0 is ignored", REQUEST.replace("HTTP/1.1", "HTTP/1.0")),
                new Case("RFC 9112, 2.3: the version is case-sensitive", REQUEST.replace("HTTP/1.1", "http/1.1")));
    }

    static Stream<Case> wellFormed() {
        String chunk = "RFC 9112, 7.1: extensions and trailers are ignored";
        return Stream.of(
                new Case("usual", REQUEST),
                withChunks(chunk, "1;a=b\r\nx\r\n0\r\nX-Call-Id: other\r\n\r\n"),
                withField("RFC 9112, 5.2: a fold may be parsed as a space", "X-A: a\r\n Content-Length: 9"));
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void messageOfAWellFormedUpgradeIsAcceptedExactly(Case request) throws IOException {
        try (Socket client = connect()) {
            send(client, request.bytes() + PREFACE);
            assertEquals("HTTP/1.1 101", readStatus(client));
            RelayProcess.await(() -> !messageAcceptor.submissions.isEmpty());
            assertEquals(List.of("m=x"), accepted());
        }
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("malformedHeads")
    void messageOfAnUpgradeWithAMalformedHeadIsNotAccepted(Case request) throws Exception {
        assertNotAccepted(request);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("unclearLengths")
    void messageOfAnUpgradeOfAnUnclearLengthIsNotAccepted(Case request) throws Exception {
        assertNotAccepted(request);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("malformedChunks")
    void messageOfAnUpgradeWithMalformedChunksIsNotAccepted(Case request) throws Exception {
        assertNotAccepted(request);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("repeatedFields")
    void messageOfAnUpgradeWithARepeatedFieldIsNotAccepted(Case request) throws Exception {
        assertNotAccepted(request);
    }

    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("notToBeUpgraded")
    void upgradeOfAnotherVersionIsIgnored(Case request) throws Exception {
        assertNotAccepted(request);
    }

    @ParameterizedTest
    @MethodSource("truncated")
    void messageOfATruncatedUpgradeIsNotAccepted(Case request) throws Exception {
        try (Socket client = connect()) {
            send(client, request.bytes());
            client.shutdownOutput();
            String status = readStatus(client);
            assertFalse(status.startsWith("HTTP/1.1 101"), status);
            Thread.sleep(NO_MESSAGE_MILLIS);
            assertEquals(List.of(), accepted());
        }
    }

    private void assertNotAccepted(Case request) throws Exception {
        try (Socket client = connect()) {
            send(client, request.bytes() + PREFACE);
            String status = readStatus(client);
            Thread.sleep(NO_MESSAGE_MILLIS);
            assertEquals(List.of(), accepted(), "response: " + status);
            assertTrue(status.isEmpty() || status.compareTo("HTTP/1.1 400") >= 0, status);
        }
    }

    /** Returns the id and the body of each accepted message. */
    private List<String> accepted() {
        return List.copyOf(messageAcceptor.submissions).stream()
                .map(submission -> submission.message().content())
                .map(content -> content.messageId() + "=" + new String(content.body(), StandardCharsets.ISO_8859_1))
                .toList();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
        return client;
    }

    private static void send(Socket client, String bytes) throws IOException {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads the start of the status line, up to the status code; returns an empty string if the connection is reset.
     */
    private static String readStatus(Socket client) throws IOException {
        try {
            byte[] line = client.getInputStream().readNBytes("HTTP/1.1 200".length());
            return new String(line, StandardCharsets.ISO_8859_1);
        } catch (SocketException e) {
            return "";
        }
    }
}
