package loftflow.discovery;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import loftflow.completion.HttpCompletionNotifier;
import loftflow.engine.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests responses of the platform's agent that are truncated, malformed or ambiguous (RFC 9112). A response that is not
 * complete and well-formed counts as no response: it neither acknowledges nor rejects a notice and is not a list,
 * because the request can be repeated without harm (PROTOCOL, Notices and Discovery).
 */
@Timeout(60)
class AmbiguousAgentResponseTest {
    private static final long RESPONSE_TIMEOUT_MILLIS = 2000;
    /** More than one, since a notifier that is short of CPU may time out before the first unreadable response. */
    private static final int UNREADABLE_RESPONSE_COUNT = 3;
    /** The statuses that callers receive if there is no response, or Netty could not parse its status line. */
    private static final Set<Integer> NO_STATUS = Set.of(0, 999);

    private static final String ACKNOWLEDGED = "HTTP/1.1 204 X\r\n\r\n";
    private static final String LIST = "{\"rev\":1,\"all\":true,\"targets\":[]}";
    private static final String LIST_LENGTH = "Content-Length: " + LIST.length() + "\r\n";
    private static final String LIST_CHUNK = Integer.toHexString(LIST.length()) + "\r\n" + LIST;

    /**
     * A scripted response.
     *
     * @param rule the rule that determines how the response has to be treated
     * @param closesConnection whether the agent closes the connection after the bytes
     */
    private record ScriptedResponse(String rule, String bytes, boolean closesConnection) {
        @Override
        public String toString() {
            return rule + ": "
                    + bytes.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0")
                    + (closesConnection ? " END" : "");
        }
    }

    /** The outcome of a request, as reported to its handler. */
    private record Response(int status, String body) {}

    /** An agent that responds to each request with scripted bytes. */
    private static final class Agent implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final AtomicInteger connections = new AtomicInteger();
        final AtomicInteger requests = new AtomicInteger();
        private final IntFunction<ScriptedResponse> responses;

        /** Creates an agent whose response depends on the number of the request, starting at 0. */
        Agent(IntFunction<ScriptedResponse> responses) throws IOException {
            this.responses = responses;
            startDaemon(this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        }

        private static void startDaemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    connections.incrementAndGet();
                    startDaemon(() -> serve(connection));
                }
            } catch (IOException e) {
                // The test has ended.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
                while (readRequest(in)) {
                    ScriptedResponse response = responses.apply(requests.getAndIncrement());
                    connection.getOutputStream().write(response.bytes().getBytes(StandardCharsets.ISO_8859_1));
                    if (response.closesConnection()) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The relay has closed the connection.
            }
        }

        private static boolean readRequest(BufferedReader in) throws IOException {
            int length = 0;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    return in.skip(length) == length;
                }
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring("content-length:".length()).strip());
                }
            }
            return false;
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<Response> responses = new CopyOnWriteArrayList<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Sends a request and waits for its outcome. */
    private Response request(AgentConnection connection) throws InterruptedException {
        int before = responses.size();
        loop.submit(() -> connection.request(
                        HttpMethod.POST,
                        "/status",
                        "",
                        RESPONSE_TIMEOUT_MILLIS,
                        (status, body) -> responses.add(new Response(status, body))))
                .sync();
        await(() -> responses.size() > before);
        return responses.get(before);
    }

    private static ScriptedResponse complete(String rule, String bytes) {
        return new ScriptedResponse(rule, bytes, false);
    }

    private static ScriptedResponse truncated(String rule, String bytes) {
        return new ScriptedResponse(rule, bytes, true);
    }

    /** Returns an acknowledgement of a notice with the given field line. */
    private static ScriptedResponse acknowledgementWithField(String rule, String line) {
        return complete(rule, "HTTP/1.1 204 X\r\n" + line + "\r\n\r\n");
    }

    /** Returns a list with the given field lines instead of its length. */
    private static ScriptedResponse listWithFields(String rule, String lines) {
        return complete(rule, "HTTP/1.1 200 X\r\n" + lines + "\r\n\r\n" + LIST);
    }

    private static ScriptedResponse responseWithStatusLine(String line) {
        return complete("RFC 9112, 4: status-line = HTTP-version SP 3DIGIT SP [ reason-phrase ]", line + "\r\n\r\n");
    }

    private static ScriptedResponse responseWithChunks(String chunks) {
        return complete(
                "RFC 9112, 7.1: chunk = chunk-size [ chunk-ext ] CRLF chunk-data CRLF",
                "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    }

    /** Responses that are truncated by the end of the connection. */
    static Stream<ScriptedResponse> truncatedResponses() {
        String head = "RFC 9112, 8: a head without its empty line is incomplete";
        String body = "RFC 9112, 8: a body shorter than its length is incomplete";
        return Stream.of(
                truncated(head, "HTTP/1.1 20"),
                truncated(head, "HTTP/1.1 204"),
                truncated(head, "HTTP/1.1 204 X"),
                truncated(body, "HTTP/1.1 200 X\r\n" + LIST_LENGTH + "\r\n"),
                truncated(body, "HTTP/1.1 200 X\r\n" + LIST_LENGTH + "\r\n{\"rev\":1"),
                truncated(body, "HTTP/1.1 400 X\r\nContent-Length: 9\r\n\r\n"),
                truncated(body, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"),
                truncated(body, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + LIST_CHUNK + "\r\n"));
    }

    /** Heads that are truncated after their status line. */
    static Stream<ScriptedResponse> truncatedHeads() {
        String head = "RFC 9112, 8: a head without its empty line is incomplete";
        return Stream.of(
                truncated(head, "HTTP/1.1 204 X\r\n"),
                truncated(head, "HTTP/1.1 204 X\r\nDate"),
                truncated(head, "HTTP/1.1 204 X\r\nDate: x\r\n"),
                truncated(head, "HTTP/1.1 204 X\r\nDate: x\r\n\r"),
                truncated(head, "HTTP/1.1 400 X\r\nDate: x\r\n"),
                truncated(head, "HTTP/1.1 200 X\r\n" + LIST_LENGTH));
    }

    static Stream<ScriptedResponse> malformedHeads() {
        String fieldLine = "RFC 9112, 5: field-line = field-name \":\" OWS field-value OWS";
        String value = "RFC 9110, 5.5: CR, LF and NUL in a value are invalid";
        return Stream.of(
                acknowledgementWithField(fieldLine, "no colon here"),
                acknowledgementWithField(fieldLine, "X-A"),
                acknowledgementWithField(fieldLine, "X A: 1"),
                acknowledgementWithField(fieldLine, ": 1"),
                acknowledgementWithField(fieldLine, "X(A): 1"),
                acknowledgementWithField(value, "X-A: a\0b"),
                acknowledgementWithField(value, "X-A: a\rb"),
                complete(fieldLine, "HTTP/1.1 400 X\r\nno colon here\r\nContent-Length: 0\r\n\r\n"),
                complete(fieldLine, "HTTP/1.1 400 X\r\nX-A\r\nContent-Length: 0\r\n\r\n"),
                listWithFields(fieldLine, "no colon here\r\n" + LIST_LENGTH.strip()));
    }

    static Stream<ScriptedResponse> ambiguousLengths() {
        String length = "RFC 9112, 6.3: an invalid Content-Length is an unrecoverable error";
        String coding = "RFC 9112, 6.1: a coding other than chunked leaves the length open";
        return Stream.of(
                listWithFields(length, LIST_LENGTH + "Content-Length: 2"),
                listWithFields(length, "Content-Length: 2\r\n" + LIST_LENGTH.strip()),
                listWithFields(length, "Content-Length: 2, " + LIST.length()),
                listWithFields(length, "Content-Length: +" + LIST.length()),
                listWithFields(length, "Content-Length: -1"),
                listWithFields(length, "Content-Length: x"),
                listWithFields(length, "Content-Length: 3 4"),
                listWithFields(length, "Content-Length:"),
                listWithFields(coding, LIST_LENGTH + "Transfer-Encoding: identity"),
                listWithFields(coding, LIST_LENGTH + "Transfer-Encoding: gzip"),
                new ScriptedResponse(coding, "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n" + LIST, true),
                listWithFields(
                        "RFC 9112, 6.3: both lengths ought to be handled as an error",
                        LIST_LENGTH + "Transfer-Encoding: chunked\r\n\r\n" + LIST_CHUNK + "\r\n0"),
                responseWithChunks(LIST_CHUNK + "\r\n0\r\nContent-Length: 2\r\n\r\n"),
                complete(length, "HTTP/1.0 200 X\r\nContent-Length: 2\r\n" + LIST_LENGTH + "\r\n" + LIST),
                complete(length, "HTTP/1.0 200 X\r\n" + LIST_LENGTH + "Content-Length: 2\r\n\r\n" + LIST));
    }

    static Stream<ScriptedResponse> malformedChunks() {
        return Stream.of(
                responseWithChunks("zz\r\n" + LIST + "\r\n0\r\n\r\n"),
                responseWithChunks("0x" + LIST_CHUNK + "\r\n0\r\n\r\n"),
                responseWithChunks("-1\r\n" + LIST + "\r\n0\r\n\r\n"),
                responseWithChunks("\r\n" + LIST + "\r\n0\r\n\r\n"),
                responseWithChunks(LIST_CHUNK + "x\r\n0\r\n\r\n"),
                responseWithChunks(LIST_CHUNK + "0\r\n\r\n"),
                responseWithChunks(LIST_CHUNK + "\r\nzz\r\n\r\n"),
                responseWithChunks(LIST_CHUNK + "\r\n0\r\nno colon here\r\n\r\n"));
    }

    static Stream<ScriptedResponse> malformedStatusLines() {
        return Stream.of(
                responseWithStatusLine("HTTP/1.1 2x4 X"),
                responseWithStatusLine("HTTP/1.1 X 204"),
                responseWithStatusLine("HTTP/1.1 -204 X"),
                responseWithStatusLine("HTTP/1.1 2040 X"),
                responseWithStatusLine("HTTP/1.1 20 X"),
                responseWithStatusLine("HTTQ/1.1 204 X"),
                responseWithStatusLine("HTTP/1.10 204 X"),
                responseWithStatusLine("204 X"),
                responseWithStatusLine("noise"),
                responseWithStatusLine("\0\0HTTP/1.1 204 X"),
                responseWithStatusLine("noise HTTP/1.1 204 X"));
    }

    /** Status lines without exactly three digits, or without a case-sensitive HTTP/1 version (RFC 9112, 2.3). */
    static Stream<ScriptedResponse> lenientlyParsedStatusLines() {
        return Stream.of(
                responseWithStatusLine("HTTP/1.1 0204 X"),
                responseWithStatusLine("HTTP/1.1 +204 X"),
                responseWithStatusLine("http/1.1 204 X"),
                responseWithStatusLine("HTTP/2.0 204 X"),
                responseWithStatusLine("HTTP/9.9 204 X"));
    }

    /** Well-formed but unusual lists, which a client has to accept. */
    static Stream<ScriptedResponse> wellFormedLists() {
        String fold = "RFC 9112, 5.2: a user agent replaces a fold by spaces";
        return Stream.of(
                listWithFields("usual", LIST_LENGTH.strip()),
                listWithFields(fold, "X-A: a\r\n Content-Length: 2\r\n" + LIST_LENGTH.strip()),
                complete("RFC 9112, 4: the reason may be empty", "HTTP/1.1 200 \r\n" + LIST_LENGTH + "\r\n" + LIST),
                responseWithChunks(LIST_CHUNK.replaceFirst("\r", ";a=b\r") + "\r\n0\r\nX-A: 2\r\n\r\n"),
                truncated(
                        "RFC 9112, 6.3: without a length, the end of the connection ends the body",
                        "HTTP/1.1 200 X\r\n\r\n" + LIST));
    }

    /** RFC 9112, 5.1: proxies remove such white space. A client may reject it, but not interpret it differently. */
    static Stream<ScriptedResponse> listsWithSpaceBeforeAColon() {
        String rule = "RFC 9112, 5.1: white space before the colon";
        return Stream.of(
                listWithFields(rule, "X-A : a\r\n" + LIST_LENGTH.strip()),
                listWithFields(rule, "Content-Length : " + LIST.length()));
    }

    private void assertCountsAsNoResponse(ScriptedResponse response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            Response received = request(new AgentConnection(loop, agent.address()));
            assertTrue(NO_STATUS.contains(received.status()), received.toString());
        }
    }

    @ParameterizedTest
    @MethodSource("truncatedResponses")
    void truncatedResponseCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("truncatedHeads")
    void truncatedHeadCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("lenientlyParsedStatusLines")
    void invalidVersionOrStatusCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("malformedHeads")
    void malformedHeadCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("ambiguousLengths")
    void ambiguousLengthCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("malformedChunks")
    void malformedChunksCountAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("malformedStatusLines")
    void malformedStatusLineCountsAsNoResponse(ScriptedResponse response) throws Exception {
        assertCountsAsNoResponse(response);
    }

    @ParameterizedTest
    @MethodSource("wellFormedLists")
    void wellFormedListIsReadUnchanged(ScriptedResponse response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            assertEquals(new Response(200, LIST), request(new AgentConnection(loop, agent.address())));
        }
    }

    @ParameterizedTest
    @MethodSource("listsWithSpaceBeforeAColon")
    void listWithASpaceBeforeAColonIsReadUnchangedOrNotAtAll(ScriptedResponse response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            Response received = request(new AgentConnection(loop, agent.address()));
            boolean isRead = received.equals(new Response(200, LIST));
            assertTrue(isRead || NO_STATUS.contains(received.status()), received.toString());
        }
    }

    /** RFC 9110, 15.2: a client skips interim responses, even unexpected ones. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void interimResponseIsSkipped(int status) throws Exception {
        ScriptedResponse interim = complete("interim", "HTTP/1.1 " + status + " X\r\n\r\n" + ACKNOWLEDGED);
        try (Agent agent = new Agent(number -> interim)) {
            assertEquals(
                    204, request(new AgentConnection(loop, agent.address())).status());
        }
    }

    /** The late final response to an earlier request must not be read as the response to the next request. */
    @Test
    void finalResponseAfterAnInterimOneIsNotReadAsTheNextResponse() throws Exception {
        try (Agent agent = new Agent(number -> number == 0
                ? complete("", "HTTP/1.1 103 X\r\n\r\n")
                : complete("", ACKNOWLEDGED + "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))) {
            AgentConnection connection = new AgentConnection(loop, agent.address());
            request(connection);
            Response second = request(connection);
            assertTrue(
                    second.status() != 204 || agent.connections.get() == 2, "response to the first request: " + second);
        }
    }

    /** RFC 9112, 6.3 and 9.6: the connection is closed after a malformed response, so the next request succeeds. */
    private void assertNextRequestIsAnswered(ScriptedResponse malformed) throws Exception {
        try (Agent agent = new Agent(number -> number == 0 ? malformed : complete("", ACKNOWLEDGED))) {
            AgentConnection connection = new AgentConnection(loop, agent.address());
            request(connection);
            assertEquals(204, request(connection).status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise", "HTTP/1.1 2x4 X"})
    void nextRequestAfterAMalformedStatusLineIsAnswered(String line) throws Exception {
        assertNextRequestIsAnswered(responseWithStatusLine(line));
    }

    @ParameterizedTest
    @MethodSource("malformedAfterTheStatusLine")
    void nextRequestAfterAMalformedResponseIsAnswered(ScriptedResponse malformed) throws Exception {
        assertNextRequestIsAnswered(malformed);
    }

    static Stream<ScriptedResponse> malformedAfterTheStatusLine() {
        return Stream.of(
                acknowledgementWithField("malformed", ": 1"),
                acknowledgementWithField("malformed", "X-A: a\0b"),
                listWithFields("malformed", "Content-Length: -1"),
                listWithFields("malformed", LIST_LENGTH + "Content-Length: 2"),
                responseWithChunks("zz\r\n"),
                responseWithStatusLine("HTTP/1.1 101 X"));
    }

    /** Asserts that a notice is sent again after unreadable responses, and ends only with a later response. */
    private void assertNoticeIsSentAgain(ScriptedResponse unreadable) throws Exception {
        try (Agent agent =
                new Agent(number -> number < UNREADABLE_RESPONSE_COUNT ? unreadable : complete("", ACKNOWLEDGED))) {
            List<Integer> requestsWhenAcknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = new HttpCompletionNotifier(
                    loop, agent.address(), message -> requestsWhenAcknowledged.add(agent.requests.get()), () -> {});
            loop.execute(() -> notifier.notifyCompletion(completed()));
            await(() -> !requestsWhenAcknowledged.isEmpty());
            int requests = requestsWhenAcknowledged.get(0);
            assertTrue(requests > UNREADABLE_RESPONSE_COUNT, "notice ended with response " + requests);
        }
    }

    private static Message completed() {
        Message message = new Message(1, new Message.Content("m1", "safe", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
        return message;
    }

    /** PROTOCOL, Notices: 204 acknowledges a notice. Sending a notice twice is harmless, whereas dropping one may not be. */
    @ParameterizedTest
    @MethodSource("unreadableAcknowledgements")
    void noticeIsSentAgainAfterAnUnreadableAcknowledgement(ScriptedResponse first) throws Exception {
        assertNoticeIsSentAgain(first);
    }

    static Stream<ScriptedResponse> unreadableAcknowledgements() {
        return Stream.of(
                truncated("cut", "HTTP/1.1 204 X\r\nDate: x\r\n"),
                acknowledgementWithField("malformed", "X-A: a\0b"),
                acknowledgementWithField("malformed", "no colon here"));
    }

    /** PROTOCOL, Notices: 400 means that the agent cannot read the notice; only a complete 400 response ends it. */
    @ParameterizedTest
    @MethodSource("unreadableRejections")
    void noticeIsSentAgainAfterAnUnreadableRejection(ScriptedResponse first) throws Exception {
        assertNoticeIsSentAgain(first);
    }

    static Stream<ScriptedResponse> unreadableRejections() {
        return Stream.of(
                truncated("cut", "HTTP/1.1 400 X\r\nDate: x\r\n"),
                complete("malformed", "HTTP/1.1 400 X\r\nX-A: a\0b\r\n\r\n"),
                complete("malformed", "HTTP/1.1 400 X\r\nno colon here\r\nContent-Length: 0\r\n\r\n"));
    }

    /** The status could not be parsed, so the notice is sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"noise", "HTTP/1.1 2x4 X", "HTTP/1.1 X 204"})
    void noticeIsSentAgainAfterAMalformedStatusLine(String line) throws Exception {
        assertNoticeIsSentAgain(responseWithStatusLine(line));
    }
}
