package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.server.KernelSocketState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests malformed responses to a call that carries one message. A well-formed status line with status 200 completes the
 * message as delivered, whatever follows; any other status applies only if the whole response is well-formed.
 */
@Timeout(60)
class SingleResponseTest extends BatchCallTestBase {
    private static final Result UNCERTAIN_RESULT = new Result(AttemptOutcome.ERROR, false);

    private Result resultOfResponse(String response) {
        host.answer(request -> response);
        return results.get(sendAndAwait(1).get(0));
    }

    /** The first line only resembles a status line; it arrives in one segment with the rest of the response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/2.0 200 OK",
                "HTTP/1.2 200 OK",
                "HTTP/0.9 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                " HTTP/1.1 200 OK",
                "\tHTTP/1.1 200 OK",
            })
    void malformedStatusLineLeavesExecutionUncertain(String line) {
        assertEquals(UNCERTAIN_RESULT, resultOfResponse(line + "\r\nContent-Length: 0\r\n\r\n"));
    }

    /**
     * With a malformed header line, the status proves neither completion of the message nor that it was not executed.
     */
    @ParameterizedTest
    @ValueSource(ints = {410, 429, 503, 504, 404})
    void statusOfAMalformedHeadLeavesExecutionUncertain(int status) {
        for (String line : List.of("no colon here", "X A: 1", "X-A : 1", "X-A: 1\r\n folded")) {
            String response = "HTTP/1.1 " + status + " X\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
            assertEquals(UNCERTAIN_RESULT, resultOfResponse(response), line);
        }
    }

    /** The status line is malformed although it contains a status. */
    @ParameterizedTest
    @ValueSource(ints = {410, 429, 503, 504, 404})
    void statusInAMalformedStatusLineLeavesExecutionUncertain(int status) {
        for (String start : List.of("HTTP/1.1  ", "HTTP/1.1\t", "HTTP/2.0 ", "HTTP/1.1 0")) {
            assertEquals(UNCERTAIN_RESULT, resultOfResponse(start + status + " X\r\nContent-Length: 0\r\n\r\n"), start);
        }
    }

    /** The head of a second response begins right after the first response and ends only after the next request. */
    @ParameterizedTest
    @ValueSource(ints = {200, 410})
    void headThatBeganBeforeTheRequestDoesNotCompleteTheMessage(int status) {
        host.answer(request -> ScriptedPeer.status(200) + "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n");
        sendAndAwait(1);
        awaitSettled();
        host.answer(request -> {
            write("\r\n");
            return ScriptedPeer.CLOSE;
        });
        Result next = results.get(sendAndAwait(1).get(0));
        assertFalse(next.isMessageCompleted(), "ended as " + next);
    }

    /**
     * The host was reached and its response is incomplete, which the policy treats as an error, not a lost connection.
     */
    @Test
    void responseTruncatedByAResetEndsAsAnError() {
        host.answer(request -> {
            write("HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhalf");
            KernelSocketState relay = KernelSocketState.ofPeer(latestConnection());
            await(() -> !relay.hasUnread());
            resetLatestConnectionOnClose();
            return ScriptedPeer.CLOSE;
        });
        assertEquals(UNCERTAIN_RESULT, results.get(sendAndAwait(1).get(0)));
    }
}
