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
 * Responses of the platform's agent that are cut, malformed or readable in two ways (RFC 9112). One that is not
 * well-formed and whole counts for nothing: it neither acknowledges a notice nor rejects one nor is a list, since the
 * request can be repeated at no harm (PROTOCOL, Notices and Discovery).
 */
@Timeout(60)
class AmbiguousAgentResponseTest {
    private static final long RESPONSE_TIMEOUT_MILLIS = 2000;
    /** Several, as a notifier that is short of CPU may time out before the first one. */
    private static final int UNREADABLE_RESPONSES = 3;
    /** What callers see where no response came, and where not even a status could be read. */
    private static final Set<Integer> NO_STATUS = Set.of(0, 999);

    private static final String ACKNOWLEDGED = "HTTP/1.1 204 X\r\n\r\n";
    private static final String LIST = "{\"rev\":1,\"all\":true,\"targets\":[]}";
    private static final String LIST_LENGTH = "Content-Length: " + LIST.length() + "\r\n";
    private static final String LIST_CHUNK = Integer.toHexString(LIST.length()) + "\r\n" + LIST;

    /** The bytes of a response, whether the connection ends behind them, and the rule that decides what is owed. */
    private record Case(String rule, String bytes, boolean ends) {
        @Override
        public String toString() {
            return rule + ": "
                    + bytes.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0")
                    + (ends ? " END" : "");
        }
    }

    /** What a caller of the connection got. */
    private record Response(int status, String body) {}

    /** An agent that answers each request with scripted bytes. */
    private static final class Agent implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final AtomicInteger connections = new AtomicInteger();
        final AtomicInteger requests = new AtomicInteger();
        private final IntFunction<Case> responses;

        /** An agent whose response depends on the number of the request, from 0 on. */
        Agent(IntFunction<Case> responses) throws IOException {
            this.responses = responses;
            daemon(this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        }

        private static void daemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    connections.incrementAndGet();
                    daemon(() -> serve(connection));
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
                    Case response = responses.apply(requests.getAndIncrement());
                    connection.getOutputStream().write(response.bytes().getBytes(StandardCharsets.ISO_8859_1));
                    if (response.ends()) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The other side has closed the connection.
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

    /** Sends a request and waits for its end. */
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

    private static Case whole(String rule, String bytes) {
        return new Case(rule, bytes, false);
    }

    private static Case cut(String rule, String bytes) {
        return new Case(rule, bytes, true);
    }

    /** A notice's acknowledgement with a line in its head. */
    private static Case withField(String rule, String line) {
        return whole(rule, "HTTP/1.1 204 X\r\n" + line + "\r\n\r\n");
    }

    /** A list with lines in place of its length. */
    private static Case withLength(String rule, String lines) {
        return whole(rule, "HTTP/1.1 200 X\r\n" + lines + "\r\n\r\n" + LIST);
    }

    private static Case withStatusLine(String line) {
        return whole("RFC 9112, 4: status-line = HTTP-version SP 3DIGIT SP [ reason-phrase ]", line + "\r\n\r\n");
    }

    private static Case withChunks(String chunks) {
        return whole(
                "RFC 9112, 7.1: chunk = chunk-size [ chunk-ext ] CRLF chunk-data CRLF",
                "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    }

    /** Responses that are cut by the end of the connection. */
    static Stream<Case> cutShort() {
        String head = "RFC 9112, 8: a head without its empty line is incomplete";
        String body = "RFC 9112, 8: a body shorter than its length is incomplete";
        return Stream.of(
                cut(head, "HTTP/1.1 20"),
                cut(head, "HTTP/1.1 204"),
                cut(head, "HTTP/1.1 204 X"),
                cut(body, "HTTP/1.1 200 X\r\n" + LIST_LENGTH + "\r\n"),
                cut(body, "HTTP/1.1 200 X\r\n" + LIST_LENGTH + "\r\n{\"rev\":1"),
                cut(body, "HTTP/1.1 400 X\r\nContent-Length: 9\r\n\r\n"),
                cut(body, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"),
                cut(body, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + LIST_CHUNK + "\r\n"));
    }

    /** Heads that are cut behind their status line. */
    static Stream<Case> cutHeads() {
        String head = "RFC 9112, 8: a head without its empty line is incomplete";
        return Stream.of(
                cut(head, "HTTP/1.1 204 X\r\n"),
                cut(head, "HTTP/1.1 204 X\r\nDate"),
                cut(head, "HTTP/1.1 204 X\r\nDate: x\r\n"),
                cut(head, "HTTP/1.1 204 X\r\nDate: x\r\n\r"),
                cut(head, "HTTP/1.1 400 X\r\nDate: x\r\n"),
                cut(head, "HTTP/1.1 200 X\r\n" + LIST_LENGTH));
    }

    static Stream<Case> badHeads() {
        String fieldLine = "RFC 9112, 5: field-line = field-name \":\" OWS field-value OWS";
        String value = "RFC 9110, 5.5: CR, LF and NUL in a value are invalid";
        return Stream.of(
                withField(fieldLine, "no colon here"),
                withField(fieldLine, "X-A"),
                withField(fieldLine, "X A: 1"),
                withField(fieldLine, ": 1"),
                withField(fieldLine, "X(A): 1"),
                withField(value, "X-A: a\0b"),
                withField(value, "X-A: a\rb"),
                whole(fieldLine, "HTTP/1.1 400 X\r\nno colon here\r\nContent-Length: 0\r\n\r\n"),
                whole(fieldLine, "HTTP/1.1 400 X\r\nX-A\r\nContent-Length: 0\r\n\r\n"),
                withLength(fieldLine, "no colon here\r\n" + LIST_LENGTH.strip()));
    }

    static Stream<Case> badLengths() {
        String length = "RFC 9112, 6.3: an invalid Content-Length is an unrecoverable error";
        String coding = "RFC 9112, 6.1: a coding other than chunked leaves the length open";
        return Stream.of(
                withLength(length, LIST_LENGTH + "Content-Length: 2"),
                withLength(length, "Content-Length: 2\r\n" + LIST_LENGTH.strip()),
                withLength(length, "Content-Length: 2, " + LIST.length()),
                withLength(length, "Content-Length: +" + LIST.length()),
                withLength(length, "Content-Length: -1"),
                withLength(length, "Content-Length: x"),
                withLength(length, "Content-Length: 3 4"),
                withLength(length, "Content-Length:"),
                withLength(coding, LIST_LENGTH + "Transfer-Encoding: identity"),
                withLength(coding, LIST_LENGTH + "Transfer-Encoding: gzip"),
                new Case(coding, "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n" + LIST, true),
                withLength(
                        "RFC 9112, 6.3: both lengths ought to be handled as an error",
                        LIST_LENGTH + "Transfer-Encoding: chunked\r\n\r\n" + LIST_CHUNK + "\r\n0"),
                withChunks(LIST_CHUNK + "\r\n0\r\nContent-Length: 2\r\n\r\n"),
                whole(length, "HTTP/1.0 200 X\r\nContent-Length: 2\r\n" + LIST_LENGTH + "\r\n" + LIST),
                whole(length, "HTTP/1.0 200 X\r\n" + LIST_LENGTH + "Content-Length: 2\r\n\r\n" + LIST));
    }

    static Stream<Case> badChunks() {
        return Stream.of(
                withChunks("zz\r\n" + LIST + "\r\n0\r\n\r\n"),
                withChunks("0x" + LIST_CHUNK + "\r\n0\r\n\r\n"),
                withChunks("-1\r\n" + LIST + "\r\n0\r\n\r\n"),
                withChunks("\r\n" + LIST + "\r\n0\r\n\r\n"),
                withChunks(LIST_CHUNK + "x\r\n0\r\n\r\n"),
                withChunks(LIST_CHUNK + "0\r\n\r\n"),
                withChunks(LIST_CHUNK + "\r\nzz\r\n\r\n"),
                withChunks(LIST_CHUNK + "\r\n0\r\nno colon here\r\n\r\n"));
    }

    static Stream<Case> badStatusLines() {
        return Stream.of(
                withStatusLine("HTTP/1.1 2x4 X"),
                withStatusLine("HTTP/1.1 X 204"),
                withStatusLine("HTTP/1.1 -204 X"),
                withStatusLine("HTTP/1.1 2040 X"),
                withStatusLine("HTTP/1.1 20 X"),
                withStatusLine("HTTQ/1.1 204 X"),
                withStatusLine("HTTP/1.10 204 X"),
                withStatusLine("204 X"),
                withStatusLine("noise"),
                withStatusLine("\0\0HTTP/1.1 204 X"),
                withStatusLine("noise HTTP/1.1 204 X"));
    }

    /** Three digits, a version that is case-sensitive (RFC 9112, 2.3) and of a known major number. */
    static Stream<Case> misreadStatusLines() {
        return Stream.of(
                withStatusLine("HTTP/1.1 0204 X"),
                withStatusLine("HTTP/1.1 +204 X"),
                withStatusLine("http/1.1 204 X"),
                withStatusLine("HTTP/2.0 204 X"),
                withStatusLine("HTTP/9.9 204 X"));
    }

    /** Well-formed, though unusual: a client reads them. */
    static Stream<Case> wellFormedLists() {
        String fold = "RFC 9112, 5.2: a user agent replaces a fold by spaces";
        return Stream.of(
                withLength("usual", LIST_LENGTH.strip()),
                withLength(fold, "X-A: a\r\n Content-Length: 2\r\n" + LIST_LENGTH.strip()),
                whole("RFC 9112, 4: the reason may be empty", "HTTP/1.1 200 \r\n" + LIST_LENGTH + "\r\n" + LIST),
                withChunks(LIST_CHUNK.replaceFirst("\r", ";a=b\r") + "\r\n0\r\nX-A: 2\r\n\r\n"),
                cut(
                        "RFC 9112, 6.3: without a length, the end of the connection ends the body",
                        "HTTP/1.1 200 X\r\n\r\n" + LIST));
    }

    /** RFC 9112, 5.1: a proxy removes such white space; a client may refuse it, but not read it differently. */
    static Stream<Case> spacesBeforeTheColon() {
        String rule = "RFC 9112, 5.1: white space before the colon";
        return Stream.of(
                withLength(rule, "X-A : a\r\n" + LIST_LENGTH.strip()),
                withLength(rule, "Content-Length : " + LIST.length()));
    }

    private void assertCountsForNothing(Case response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            Response received = request(new AgentConnection(loop, agent.address()));
            assertTrue(NO_STATUS.contains(received.status()), received.toString());
        }
    }

    @ParameterizedTest
    @MethodSource("cutShort")
    void responseThatIsCutCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("cutHeads")
    void responseWithACutHeadCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("misreadStatusLines")
    void responseWithAnInvalidStatusLineCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("badHeads")
    void responseWithAMalformedHeadCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("badLengths")
    void responseOfAnUnclearLengthCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("badChunks")
    void responseWithMalformedChunksCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("badStatusLines")
    void responseWithAMalformedStatusLineCountsForNothing(Case response) throws Exception {
        assertCountsForNothing(response);
    }

    @ParameterizedTest
    @MethodSource("wellFormedLists")
    void wellFormedListIsReadExactly(Case response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            assertEquals(new Response(200, LIST), request(new AgentConnection(loop, agent.address())));
        }
    }

    @ParameterizedTest
    @MethodSource("spacesBeforeTheColon")
    void listWithASpaceBeforeAColonIsReadExactlyOrNotAtAll(Case response) throws Exception {
        try (Agent agent = new Agent(number -> response)) {
            Response received = request(new AgentConnection(loop, agent.address()));
            boolean isRead = received.equals(new Response(200, LIST));
            assertTrue(isRead || NO_STATUS.contains(received.status()), received.toString());
        }
    }

    /** RFC 9110, 15.2: a client reads and skips interim responses, asked for or not. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void interimResponseIsSkipped(int status) throws Exception {
        Case interim = whole("interim", "HTTP/1.1 " + status + " X\r\n\r\n" + ACKNOWLEDGED);
        try (Agent agent = new Agent(number -> interim)) {
            assertEquals(
                    204, request(new AgentConnection(loop, agent.address())).status());
        }
    }

    /** The final response that belongs to an earlier request must not be taken for the next one's. */
    @Test
    void finalResponseBehindAnInterimOneIsNotTheNextRequests() throws Exception {
        try (Agent agent = new Agent(number -> number == 0
                ? whole("", "HTTP/1.1 103 X\r\n\r\n")
                : whole("", ACKNOWLEDGED + "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))) {
            AgentConnection connection = new AgentConnection(loop, agent.address());
            request(connection);
            Response second = request(connection);
            assertTrue(second.status() != 204 || agent.connections.get() == 2, "the first one's: " + second);
        }
    }

    /** RFC 9112, 6.3 and 9.6: nothing can be read behind a malformed response, so its connection is closed. */
    private void assertNextRequestIsAnswered(Case malformed) throws Exception {
        try (Agent agent = new Agent(number -> number == 0 ? malformed : whole("", ACKNOWLEDGED))) {
            AgentConnection connection = new AgentConnection(loop, agent.address());
            request(connection);
            assertEquals(204, request(connection).status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise", "HTTP/1.1 2x4 X"})
    void nextRequestAfterAMalformedStatusLineIsAnswered(String line) throws Exception {
        assertNextRequestIsAnswered(withStatusLine(line));
    }

    @ParameterizedTest
    @MethodSource("malformedBehindTheStatusLine")
    void nextRequestAfterAMalformedResponseIsAnswered(Case malformed) throws Exception {
        assertNextRequestIsAnswered(malformed);
    }

    static Stream<Case> malformedBehindTheStatusLine() {
        return Stream.of(
                withField("malformed", ": 1"),
                withField("malformed", "X-A: a\0b"),
                withLength("malformed", "Content-Length: -1"),
                withLength("malformed", LIST_LENGTH + "Content-Length: 2"),
                withChunks("zz\r\n"),
                withStatusLine("HTTP/1.1 101 X"));
    }

    // ---- notices

    /** Sends one notice to an agent whose first responses are unreadable: only a later one ends the notice. */
    private void assertNoticeIsSentAgain(Case unreadable) throws Exception {
        try (Agent agent = new Agent(number -> number < UNREADABLE_RESPONSES ? unreadable : whole("", ACKNOWLEDGED))) {
            List<Integer> requestsWhenAcknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = new HttpCompletionNotifier(
                    loop, agent.address(), message -> requestsWhenAcknowledged.add(agent.requests.get()), () -> {});
            loop.execute(() -> notifier.notifyCompletion(completed()));
            await(() -> !requestsWhenAcknowledged.isEmpty());
            int requests = requestsWhenAcknowledged.get(0);
            assertTrue(requests > UNREADABLE_RESPONSES, "ended by response " + requests);
        }
    }

    private static Message completed() {
        Message message = new Message(1, new Message.Content("m1", "safe", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
        return message;
    }

    /** PROTOCOL, Notices: 204 acknowledges; a notice that is sent twice does no harm, one that is dropped may. */
    @ParameterizedTest
    @MethodSource("unreadableAcknowledgements")
    void noticeIsSentAgainAfterAnUnreadableAcknowledgement(Case first) throws Exception {
        assertNoticeIsSentAgain(first);
    }

    static Stream<Case> unreadableAcknowledgements() {
        return Stream.of(
                cut("cut", "HTTP/1.1 204 X\r\nDate: x\r\n"),
                withField("malformed", "X-A: a\0b"),
                withField("malformed", "no colon here"));
    }

    /** PROTOCOL, Notices: 400 means that a notice can't be read; only a whole 400 ends it. */
    @ParameterizedTest
    @MethodSource("unreadableRejections")
    void noticeIsSentAgainAfterAnUnreadableRejection(Case first) throws Exception {
        assertNoticeIsSentAgain(first);
    }

    static Stream<Case> unreadableRejections() {
        return Stream.of(
                cut("cut", "HTTP/1.1 400 X\r\nDate: x\r\n"),
                whole("malformed", "HTTP/1.1 400 X\r\nX-A: a\0b\r\n\r\n"),
                whole("malformed", "HTTP/1.1 400 X\r\nno colon here\r\nContent-Length: 0\r\n\r\n"));
    }

    /** Nothing of a status was read, so that the notice is sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"noise", "HTTP/1.1 2x4 X", "HTTP/1.1 X 204"})
    void noticeIsSentAgainAfterAMalformedStatusLine(String line) throws Exception {
        assertNoticeIsSentAgain(withStatusLine(line));
    }
}
