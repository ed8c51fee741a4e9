package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Where a batch response ends: each response is read in one piece and byte by byte, and is cut off at every byte by the
 * end of its connection and by a reset.
 */
@Timeout(120)
class BatchResponseFramingTest extends BatchCallTestBase {
    private static final String BODY = delivered(0, 2);
    private static final String GOOD_STATUS = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String SIZE = Integer.toHexString(BODY.length());
    private static final String CHUNK = SIZE + "\r\n" + BODY + "\r\n";
    private static final String GOOD = OK + LENGTH + "\r\n" + BODY;
    private static final String GOOD_CHUNKED = OK + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n";

    /** Each response once read in one piece, and once byte by byte. */
    private static Stream<Arguments> inBothWays(String... responses) {
        return Stream.of(responses).flatMap(text -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
    }

    static Stream<Arguments> wellFormed() {
        return inBothWays(
                GOOD,
                GOOD_CHUNKED,
                OK + CHUNKED + "\r\n" + CHUNK + "0\r\nX-A: 1\r\n\r\n",
                OK + CHUNKED + "\r\n" + SIZE + ";name=value\r\n" + BODY + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 \r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + LENGTH + "\r\n" + BODY,
                OK + "X-Empty:\r\nX-Load-Report: =,=\r\nX-Load-Report: %%%\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 100 X\r\n\r\n" + GOOD,
                "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + GOOD);
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void wholeResponseDeliversAndItsConnectionIsReused(String response, boolean readsSingleBytes) {
        this.readsSingleBytes = readsSingleBytes;
        batchOfTwo(request -> response);
        assertDelivered();
        awaitSettled();
        host.answer(BatchCallTestBase::deliverAll);
        sendAndAwait(2);
        assertEquals(1, host.connections.size());
    }

    static Stream<Arguments> malformed() {
        return inBothWays(
                "FOO/1.1 200 OK\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/2 200 OK\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 2x0 OK\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 OK 200\r\n" + LENGTH + "\r\n" + BODY,
                "HTTP/1.1 -200 OK\r\n" + LENGTH + "\r\n" + BODY,
                "200 OK\r\n" + LENGTH + "\r\n" + BODY,
                "\tHTTP/1.1 200 OK\r\n" + LENGTH + "\r\n" + BODY,
                "noise\r\n\r\n" + GOOD,
                "HTTP/1.1 101 X\r\n\r\n" + GOOD,
                OK + " folded: into nothing\r\n" + LENGTH + "\r\n" + BODY,
                OK + "X-A\r\n" + LENGTH + "\r\n" + BODY,
                OK + ": x\r\n" + LENGTH + "\r\n" + BODY,
                OK + "X-A: \u0001\r\n" + LENGTH + "\r\n" + BODY,
                OK + "X(A): 1\r\n" + LENGTH + "\r\n" + BODY,
                OK + "{\"a\": 1}\r\n" + LENGTH + "\r\n" + BODY,
                OK + "Transfer-Encoding: identity\r\n" + LENGTH + "\r\n" + BODY,
                OK + CHUNKED + LENGTH + "\r\n" + CHUNK + "0\r\n\r\n",
                OK + LENGTH + LENGTH + "\r\n" + BODY,
                OK + LENGTH + "Content-Length: 1\r\n\r\n" + BODY,
                OK + "Content-Length: 59, 59\r\n\r\n" + BODY,
                OK + "Content-Length: +" + BODY.length() + "\r\n\r\n" + BODY,
                OK + "Content-Length: -1\r\n\r\n" + BODY,
                OK + "Content-Length: 3000000000\r\n\r\n" + BODY,
                OK + "Content-Length:\r\n " + BODY.length() + "\r\n\r\n" + BODY,
                "HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n",
                OK + "Transfer-Encoding: chunked, chunked\r\n\r\n" + CHUNK + "0\r\n\r\n",
                OK + "Transfer-Encoding: chunked, identity\r\n\r\n" + CHUNK + "0\r\n\r\n",
                OK + CHUNKED + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n",
                OK + CHUNKED + "\r\n0x" + CHUNK + "0\r\n\r\n",
                OK + CHUNKED + "\r\n+" + CHUNK + "0\r\n\r\n",
                OK + CHUNKED + "\r\n" + SIZE + "\r\n" + BODY + "junk\r\n0\r\n\r\n",
                OK + CHUNKED + "\r\n" + SIZE + "\r\n" + BODY + "0\r\n\r\n",
                OK + CHUNKED + "\r\n" + CHUNK + "-0\r\n\r\n",
                OK + CHUNKED + "\r\n" + CHUNK + "noise\r\n\r\n",
                OK + CHUNKED + "\r\n" + CHUNK + "0\r\n: x\r\n\r\n",
                OK + CHUNKED + "\r\n" + CHUNK + "0\r\nX-A: \u0001\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedResponseProvesNothing(String response, boolean readsSingleBytes) {
        this.readsSingleBytes = readsSingleBytes;
        batchOfTwo(request -> response);
        assertNotDelivered();
    }

    /** Read byte by byte, the status line is judged before the rest arrives. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.2 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 2000 OK"
            })
    void malformedStatusLineThatArrivesAheadProvesNothing(String line) {
        readsSingleBytes = true;
        batchOfTwo(request -> line + "\r\n" + LENGTH + "\r\n" + BODY);
        assertNotDelivered();
    }

    /**
     * With neither length nor chunks, the end of the connection would be the end of the body (RFC 9112, 6.3). PROTOCOL
     * calls an end of the connection a reset, and the ends of several messages have to be told by a whole response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void endOfTheConnectionIsNotTheEndOfABody(String line) {
        batchOfTwo(request -> {
            write(OK + line + "\r\n" + BODY);
            return ScriptedPeer.CLOSE;
        });
        assertNotDelivered();
    }

    /** The body without a length is cut off inside, so it is no JSON. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedBodyWithoutLengthProvesNothing(boolean isReset) {
        assertEveryCutProvesNothing(body -> OK + "\r\n" + body, isReset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedResponseProvesNothing(boolean isReset) {
        assertEveryCutProvesNothing(body -> ScriptedPeer.answer(200, body, "X-A: 1"), isReset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedChunksProveNothing(boolean isReset) {
        assertEveryCutProvesNothing(
                body -> OK + CHUNKED + "\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\nX-A: 1\r\n\r\n",
                isReset);
    }

    /** Cuts a response off after each of its bytes but the last; each time for another call. */
    private void assertEveryCutProvesNothing(UnaryOperator<String> response, boolean isReset) {
        for (int end = 0; end < response.apply(delivered(2 * end, 2)).length(); end++) {
            assertCutProvesNothing(response.apply(delivered(2 * end, 2)).substring(0, end), isReset);
        }
    }

    private void assertCutProvesNothing(String start, boolean isReset) {
        host.answer(request -> {
            write(start);
            if (isReset) {
                resetAtClose();
            }
            return ScriptedPeer.CLOSE;
        });
        int connections = host.connections.size();
        for (String id : sendAndAwait(2)) {
            Result result = results.get(id);
            String seen = id + " cut after " + start.length() + " bytes ended as " + result;
            assertFalse(result.isMessageCompleted(), seen);
            assertTrue(MAY_HAVE_RUN.contains(result.outcome()), seen);
        }
        assertEquals(connections + 1, host.connections.size(), "a connection of its own");
    }

    /** A good response counts, and what follows it in the same segment is taken for no response to the next call. */
    @ParameterizedTest
    @ValueSource(strings = {GOOD_STATUS, "noise\r\n\r\n", " ", "\u0001"})
    void bytesBehindAResponseAreNotTakenForTheNextOne(String behind) {
        batchOfTwo(request -> GOOD + behind);
        assertDelivered();
        assertConnectionIsNotReused();
    }
}
