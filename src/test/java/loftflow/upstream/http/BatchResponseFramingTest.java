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
 * Tests how the end of a batch response is determined. Responses are read in one piece and byte by byte, and are
 * truncated after every byte by a connection close or a reset.
 */
@Timeout(120)
class BatchResponseFramingTest extends BatchCallTestBase {
    private static final String BODY = bodyReportingDelivered(0, 2);
    private static final String EMPTY_OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String CONTENT_LENGTH = "Content-Length: " + BODY.length() + "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNK_SIZE = Integer.toHexString(BODY.length());
    private static final String CHUNK = CHUNK_SIZE + "\r\n" + BODY + "\r\n";
    private static final String WELL_FORMED = STATUS_LINE + CONTENT_LENGTH + "\r\n" + BODY;
    private static final String WELL_FORMED_CHUNKED = STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n";

    /** Returns each response twice: to be read in one piece, and to be read byte by byte. */
    private static Stream<Arguments> readWholeAndByteByByte(String... responses) {
        return Stream.of(responses).flatMap(text -> Stream.of(Arguments.of(text, false), Arguments.of(text, true)));
    }

    static Stream<Arguments> wellFormed() {
        return readWholeAndByteByByte(
                WELL_FORMED,
                WELL_FORMED_CHUNKED,
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "0\r\nX-A: 1\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK_SIZE + ";name=value\r\n" + BODY + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 \r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "X-Empty:\r\nX-Load-Report: =,=\r\nX-Load-Report: %%%\r\n" + CONTENT_LENGTH + "\r\n"
                        + BODY,
                "HTTP/1.1 100 X\r\n\r\n" + WELL_FORMED,
                "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + WELL_FORMED);
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void wellFormedResponseDeliversAndItsConnectionIsReused(String response, boolean readsSingleBytes) {
        this.readsSingleBytes = readsSingleBytes;
        sendBatchOfTwo(request -> response);
        assertDelivered();
        awaitSettled();
        host.answer(BatchCallTestBase::respondWithAllDelivered);
        sendAndAwait(2);
        assertEquals(1, host.connections.size());
    }

    static Stream<Arguments> malformed() {
        return readWholeAndByteByByte(
                "FOO/1.1 200 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "HTTP/2 200 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "HTTP/1.1 2x0 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "HTTP/1.1 OK 200\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "HTTP/1.1 -200 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "200 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "\tHTTP/1.1 200 OK\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                "noise\r\n\r\n" + WELL_FORMED,
                "HTTP/1.1 101 X\r\n\r\n" + WELL_FORMED,
                STATUS_LINE + " folded: into nothing\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "X-A\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + ": x\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "X-A: \u0001\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "X(A): 1\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "{\"a\": 1}\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + "Transfer-Encoding: identity\r\n" + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + CHUNKED + CONTENT_LENGTH + "\r\n" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + CONTENT_LENGTH + CONTENT_LENGTH + "\r\n" + BODY,
                STATUS_LINE + CONTENT_LENGTH + "Content-Length: 1\r\n\r\n" + BODY,
                STATUS_LINE + "Content-Length: 59, 59\r\n\r\n" + BODY,
                STATUS_LINE + "Content-Length: +" + BODY.length() + "\r\n\r\n" + BODY,
                STATUS_LINE + "Content-Length: -1\r\n\r\n" + BODY,
                STATUS_LINE + "Content-Length: 3000000000\r\n\r\n" + BODY,
                STATUS_LINE + "Content-Length:\r\n " + BODY.length() + "\r\n\r\n" + BODY,
                "HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + "Transfer-Encoding: chunked, chunked\r\n\r\n" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + "Transfer-Encoding: chunked, identity\r\n\r\n" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + CHUNKED + CHUNKED + "\r\n" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n0x" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n+" + CHUNK + "0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK_SIZE + "\r\n" + BODY + "junk\r\n0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK_SIZE + "\r\n" + BODY + "0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "-0\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "noise\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "0\r\n: x\r\n\r\n",
                STATUS_LINE + CHUNKED + "\r\n" + CHUNK + "0\r\nX-A: \u0001\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedResponseLeavesExecutionUncertain(String response, boolean readsSingleBytes) {
        this.readsSingleBytes = readsSingleBytes;
        sendBatchOfTwo(request -> response);
        assertExecutionUncertain();
    }

    /** The status line is parsed before the rest of the response arrives. */
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
    void malformedStatusLineReadByteByByteLeavesExecutionUncertain(String line) {
        readsSingleBytes = true;
        sendBatchOfTwo(request -> line + "\r\n" + CONTENT_LENGTH + "\r\n" + BODY);
        assertExecutionUncertain();
    }

    /**
     * Without a length or chunks, a body is delimited by the end of the connection (RFC 9112, 6.3). PROTOCOL
     * defines that end as a reset, and only a complete response may report the states of several messages.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void connectionCloseDoesNotDelimitABatchBody(String line) {
        sendBatchOfTwo(request -> {
            write(STATUS_LINE + line + "\r\n" + BODY);
            return ScriptedPeer.CLOSE;
        });
        assertExecutionUncertain();
    }

    /** The truncated body is not valid JSON. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedBodyWithoutLengthLeavesExecutionUncertain(boolean isReset) {
        assertEveryTruncationLeavesExecutionUncertain(body -> STATUS_LINE + "\r\n" + body, isReset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedResponseLeavesExecutionUncertain(boolean isReset) {
        assertEveryTruncationLeavesExecutionUncertain(body -> ScriptedPeer.answer(200, body, "X-A: 1"), isReset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedChunkedResponseLeavesExecutionUncertain(boolean isReset) {
        assertEveryTruncationLeavesExecutionUncertain(
                body -> STATUS_LINE + CHUNKED + "\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\nX-A: 1\r\n\r\n",
                isReset);
    }

    /** Truncates a response after each of its bytes except the last, each time for a new call. */
    private void assertEveryTruncationLeavesExecutionUncertain(UnaryOperator<String> response, boolean isReset) {
        for (int end = 0;
                end < response.apply(bodyReportingDelivered(2 * end, 2)).length();
                end++) {
            assertTruncationLeavesExecutionUncertain(
                    response.apply(bodyReportingDelivered(2 * end, 2)).substring(0, end), isReset);
        }
    }

    private void assertTruncationLeavesExecutionUncertain(String start, boolean isReset) {
        host.answer(request -> {
            write(start);
            if (isReset) {
                resetLatestConnectionOnClose();
            }
            return ScriptedPeer.CLOSE;
        });
        int connections = host.connections.size();
        for (String id : sendAndAwait(2)) {
            Result result = results.get(id);
            String seen = id + " with a response truncated after " + start.length() + " bytes ended as " + result;
            assertFalse(result.isMessageCompleted(), seen);
            assertTrue(UNCERTAIN_OUTCOMES.contains(result.outcome()), seen);
        }
        assertEquals(connections + 1, host.connections.size(), "connections after a new call");
    }

    /** A well-formed response applies, and bytes after it in the same segment are not read as the next response. */
    @ParameterizedTest
    @ValueSource(strings = {EMPTY_OK_RESPONSE, "noise\r\n\r\n", " ", "\u0001"})
    void bytesAfterAResponseAreNotReadAsTheNextResponse(String trailing) {
        sendBatchOfTwo(request -> WELL_FORMED + trailing);
        assertDelivered();
        assertConnectionIsNotReused();
    }
}
