package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests responses that are sent a second time on the only connection that the client may open. */
@Timeout(60)
class SingleConnectionCopyTest extends ResponseCopyTestBase {
    /** So many that the slow response before them hardly counts for the usual response time. */
    private static final int QUICK_RESPONSES = 40;

    @Override
    int maxConnections() {
        return 1;
    }

    /** The copy comes after the next call was sent; the message was sent again although it had been executed. */
    @ParameterizedTest
    @CsvSource({"503, 200", "429, 500", "410, 200", "504, 503"})
    void rejectionThatMayBeACopyProvesNothingIfAnotherResponseFollows(int firstStatus, int nextStatus) {
        assertEquals(new Result(AttemptOutcome.ERROR, false), resultOfCallEndedByCopy(firstStatus, nextStatus));
    }

    /** The message was executed twice: a copied rejection was believed before its own, slow response could come. */
    @Test
    void rejectionThatMayBeACopyProvesNothingBeforeTheSlowestResponseOfTheHost() {
        host.answer(request -> {
            RelayProcess.blockThread(1_200);
            return ScriptedPeer.status(200);
        });
        sendAndAwait(1);
        host.answer(request -> ScriptedPeer.answer(200, request.id()));
        for (int i = 0; i < QUICK_RESPONSES; i++) {
            sendAndAwait(1);
        }
        host.answer(request -> ScriptedPeer.status(503));
        sendAndAwait(1);
        host.answer(request -> {
            writeCopyLater(ScriptedPeer.status(503));
            RelayProcess.blockThread(900);
            return ScriptedPeer.status(200);
        });
        assertEquals(
                new Result(AttemptOutcome.ERROR, false),
                results.get(sendAndAwait(1).get(0)));
    }

    /** Without another response, the rejection was the one of its own call. */
    @Test
    void rejectionBehindARejectionIsReportedOnceNoOtherResponseFollows() {
        host.answer(request -> ScriptedPeer.status(503));
        sendAndAwait(1);
        long startNanos = System.nanoTime();
        assertEquals(
                new Result(AttemptOutcome.REJECTED, false),
                results.get(sendAndAwait(1).get(0)));
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMillis >= 500, "elapsed: " + elapsedMillis + " ms");
        assertEquals(1, host.connections.size());
    }
}
