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
 * Malformed responses to a call for one message. A well-formed status line with 200 delivers it, whatever follows; any
 * other status counts only with a whole, well-formed response.
 */
@Timeout(60)
class SingleResponseTest extends BatchCallTestBase {
    private static final Result MAY_HAVE_RUN = new Result(AttemptOutcome.ERROR, false);

    private Result resultOf(String response) {
        host.answer(request -> response);
        return results.get(sendAndAwait(1).get(0));
    }

    /** A line in place of the status line that only resembles one; it arrives in one segment with the rest. */
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
    void malformedStatusLineDeliversNothing(String line) {
        assertEquals(MAY_HAVE_RUN, resultOf(line + "\r\nContent-Length: 0\r\n\r\n"));
    }

    /** A head that is malformed behind its status line: neither that the message is over nor that it never ran. */
    @ParameterizedTest
    @ValueSource(ints = {410, 429, 503, 504, 404})
    void statusOfAMalformedHeadProvesNothing(int status) {
        for (String line : List.of("no colon here", "X A: 1", "X-A : 1", "X-A: 1\r\n folded")) {
            String response = "HTTP/1.1 " + status + " X\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
            assertEquals(MAY_HAVE_RUN, resultOf(response), line);
        }
    }

    /** A status line that is malformed itself. */
    @ParameterizedTest
    @ValueSource(ints = {410, 429, 503, 504, 404})
    void statusInAMalformedLineProvesNothing(int status) {
        for (String start : List.of("HTTP/1.1  ", "HTTP/1.1\t", "HTTP/2.0 ", "HTTP/1.1 0")) {
            assertEquals(MAY_HAVE_RUN, resultOf(start + status + " X\r\nContent-Length: 0\r\n\r\n"), start);
        }
    }

    /** The head of a second response begins behind the first one, and ends only behind the next request. */
    @ParameterizedTest
    @ValueSource(ints = {200, 410})
    void headThatBeganBeforeTheRequestProvesNothing(int status) {
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

    /** The host was reached and fails in its answers: the policy weighs that as an error, not as a lost connection. */
    @Test
    void responseThatAResetCutsShortIsAnError() {
        host.answer(request -> {
            write("HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhalf");
            KernelSocketState relay = KernelSocketState.ofPeer(latestConnection());
            await(() -> !relay.hasUnread());
            resetAtClose();
            return ScriptedPeer.CLOSE;
        });
        assertEquals(MAY_HAVE_RUN, results.get(sendAndAwait(1).get(0)));
    }
}
