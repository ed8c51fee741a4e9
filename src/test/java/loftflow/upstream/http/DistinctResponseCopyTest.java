package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a copy of a response ends no call where the responses of a host differ from each other. */
@Timeout(60)
class DistinctResponseCopyTest extends ResponseCopyTestBase {
    private static final Result DELIVERED = new Result(AttemptOutcome.OK, true);
    /** The message may not be sent again, as the response may have been its own, but its delivery is not counted. */
    private static final Result DELIVERED_WITHOUT_PROOF = new Result(AttemptOutcome.OK, false);

    private static final int RESPONSES = 6;
    private static final long SHORT_TIMEOUT_MICROS = 600_000;
    /** So shortly that the response does not count as stalled by then. */
    private static final long MILLIS_SHORTLY_BEFORE_TIMEOUT = 300;

    private String latestResponse;

    private String respondDistinctly(ScriptedPeer.Request request) {
        latestResponse = ScriptedPeer.answer(200, "done " + request.id());
        return latestResponse;
    }

    private void deliverSeveral() {
        host.answer(this::respondDistinctly);
        for (int i = 0; i < RESPONSES; i++) {
            assertEquals(DELIVERED, results.get(sendAndAwait(1).get(0)));
            RelayProcess.blockThread(2 * COPY_TO_RESPONSE_MILLIS / RESPONSES);
        }
        RelayProcess.blockThread(COPY_TO_RESPONSE_MILLIS);
    }

    /** The message was lost: a copy reported it as delivered, and its own response came later. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 500})
    void copyDoesNotReplaceTheResponseToACall(int status) {
        deliverSeveral();
        host.answer(request -> {
            writeCopyLater(latestResponse);
            RelayProcess.blockThread(COPY_TO_RESPONSE_MILLIS);
            return ScriptedPeer.status(status);
        });
        AttemptOutcome own = status == 500 ? AttemptOutcome.ERROR : AttemptOutcome.REJECTED;
        assertEquals(new Result(own, false), results.get(sendAndAwait(1).get(0)));
    }

    /** The message was lost, or sent again behind its own response that equalled an earlier one by chance. */
    @Test
    void silenceBehindAnEqualResponseReportsADeliveryWithoutProof() {
        deliverSeveral();
        host.answer(request -> {
            writeCopyLater(latestResponse);
            return ScriptedPeer.SILENCE;
        });
        assertEquals(DELIVERED_WITHOUT_PROOF, resultWithShortTimeout());
    }

    private Result resultWithShortTimeout() {
        List<String> sent = send(1, SHORT_TIMEOUT_MICROS, clock.micros() + 30 * SECOND_MICROS);
        await(() -> results.containsKey(sent.get(0)));
        return results.get(sent.get(0));
    }

    /** The message was lost, or sent again behind its own response that equalled an earlier one by chance. */
    @Test
    void endOfTheConnectionBehindAnEqualResponseReportsADeliveryWithoutProof() {
        deliverSeveral();
        host.answer(request -> {
            writeCopyLater(latestResponse);
            RelayProcess.blockThread(2_000);
            return ScriptedPeer.CLOSE;
        });
        assertEquals(DELIVERED_WITHOUT_PROOF, results.get(sendAndAwait(1).get(0)));
    }

    /** The message was sent again although the first line of its response had come before the timeout. */
    @Test
    void firstLineOfAResponseAtTheTimeoutReportsADeliveryWithoutProof() {
        deliverSeveral();
        host.answer(request -> {
            RelayProcess.blockThread(MILLIS_SHORTLY_BEFORE_TIMEOUT);
            write("HTTP/1.1 200 X\r\nContent-");
            return ScriptedPeer.SILENCE;
        });
        assertEquals(DELIVERED_WITHOUT_PROOF, resultWithShortTimeout());
    }

    /** The message was lost: the first bytes of a copy reported it as delivered before the copy could be recognized. */
    @Test
    void copyThatComesInPiecesDoesNotReplaceTheResponseToACall() {
        deliverSeveral();
        host.answer(request -> {
            String copy = latestResponse;
            writeCopyLater(copy.substring(0, 20));
            writeCopyLater(copy.substring(20));
            return ScriptedPeer.status(503);
        });
        assertEquals(
                new Result(AttemptOutcome.REJECTED, false),
                results.get(sendAndAwait(1).get(0)));
    }

    /** Guards against a new connection for each call that must not be repeated, where rejections can be told apart. */
    @Test
    void connectionWithDistinctRejectionsCarriesCallsThatMustNotBeRepeated() {
        host.answer(request -> ScriptedPeer.status(503, "X-Load-Report: " + request.id()));
        for (int i = 0; i < RESPONSES; i++) {
            assertEquals(
                    new Result(AttemptOutcome.REJECTED, false),
                    results.get(sendAndAwait(1).get(0)));
            RelayProcess.blockThread(COPY_TO_RESPONSE_MILLIS);
        }
        assertEquals(2, host.connections.size());
    }

    /** Guards against a host whose equal responses are never believed, so that its messages all time out. */
    @Test
    void hostThatRepeatsItsResponsesIsBelievedAfterTwoTimeouts() {
        deliverSeveral();
        host.answer(request -> ScriptedPeer.answer(200, "done"));
        assertEquals(DELIVERED, results.get(sendAndAwait(1).get(0)));
        for (int i = 0; i < 2; i++) {
            List<String> sent = send(1, SHORT_TIMEOUT_MICROS, clock.micros() + 30 * SECOND_MICROS);
            await(() -> results.containsKey(sent.get(0)));
        }
        for (int i = 0; i < RESPONSES; i++) {
            assertEquals(DELIVERED, results.get(sendAndAwait(1).get(0)));
        }
        assertEquals(Set.of(), disproved);
    }
}
