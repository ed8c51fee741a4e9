package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import loftflow.engine.UpstreamClient;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses to a batch that arrive around the end of their own call, or of another call on the connection. */
@Timeout(60)
class BatchResponseOrderTest extends BatchCallTestBase {
    private static final String GOOD = ScriptedPeer.answer(200, delivered(0, 2));
    private static final long LONG_MICROS = 30 * SECOND_MICROS;
    /** Longer than a call takes to arrive, also on a busy machine. */
    private static final long SHORT_MILLIS = 2_000;

    /** Sends m0 and m1 to a host that stays silent, and waits until the call has arrived. */
    private void sendUnanswered(long timeoutMicros, long timeToDeadlineMicros) {
        send(2, timeoutMicros, clock.micros() + timeToDeadlineMicros);
        await(() -> host.requests.size() == 1);
    }

    /** On the event loop: the bytes arrive after the given time, and before the loop reads its sockets again. */
    private void writeBehind(long blockedMillis, String bytes) {
        onLoop(() -> {
            RelayProcess.blockThread(blockedMillis);
            write(bytes);
            KernelSocketState.ofPeer(latestConnection()).awaitUnread(bytes.length());
        });
    }

    private void assertBoth(AttemptOutcome outcome) {
        await(() -> results.size() == 2);
        assertEquals(new Result(outcome, outcome == AttemptOutcome.OK), results.get("m0"));
        assertEquals(new Result(outcome, outcome == AttemptOutcome.OK), results.get("m1"));
    }

    /** The whole response, or its last byte, arrives in the iteration in which the messages' time is up. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseAtTheDeadlineDeliversNothing(boolean isLastByteOnly) {
        sendUnanswered(LONG_MICROS, SHORT_MILLIS * MILLI_MICROS);
        int split = isLastByteOnly ? GOOD.length() - 1 : 0;
        write(GOOD.substring(0, split));
        writeBehind(SHORT_MILLIS, GOOD.substring(split));
        assertBoth(AttemptOutcome.TIMEOUT);
    }

    /** The same at the timeout of the attempts, when their messages have time left: the response is whole, and counts. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void wholeResponseAtTheTimeoutDelivers(boolean isLastByteOnly) {
        sendUnanswered(SHORT_MILLIS * MILLI_MICROS, LONG_MICROS);
        int split = isLastByteOnly ? GOOD.length() - 1 : 0;
        write(GOOD.substring(0, split));
        writeBehind(SHORT_MILLIS, GOOD.substring(split));
        assertBoth(AttemptOutcome.OK);
    }

    /** All but the last byte has arrived at the timeout; the last one comes behind it. */
    @Test
    void responseWithoutItsLastByteAtTheTimeoutDeliversNothing() {
        sendUnanswered(200 * MILLI_MICROS, LONG_MICROS);
        write(GOOD.substring(0, GOOD.length() - 1));
        assertBoth(AttemptOutcome.TIMEOUT);
        await(() -> host.connections.get(0).isClosed());
        assertConnectionIsNotReused();
    }

    /** The response does not end within the time for one: its call ends before its last byte arrives. */
    @Test
    void responseThatStallsDeliversNothing() {
        sendUnanswered(LONG_MICROS, LONG_MICROS);
        write(GOOD.substring(0, GOOD.length() - 1));
        await(() -> results.size() == 2);
        assertNotDelivered();
    }

    /** A message that was given up keeps that outcome, though the response reports it as delivered. */
    @Test
    void responseDeliversOnlyWhatStillWaits() {
        UpstreamClient.OutboundAttempt first = attempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        UpstreamClient.OutboundAttempt second = attempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        onLoop(() -> client.send("r", List.of(first, second)));
        await(() -> host.requests.size() == 1);
        onLoop(() -> client.cancel(first.attempt()));
        assertEquals(new Result(AttemptOutcome.CANCELLED, false), results.get("m0"));
        write(GOOD);
        await(() -> results.containsKey("m1"));
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m1"));
        assertEquals(new Result(AttemptOutcome.CANCELLED, false), results.get("m0"));
    }

    /** A response is written right behind the end of its call: the connection is gone, and no later call reads it. */
    @Test
    void responseBehindTheEndOfItsCallDeliversNothing() {
        CountDownLatch isWritten = new CountDownLatch(1);
        host.answer(request -> {
            // The host does not read the end of the connection before it has responded.
            try {
                isWritten.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return ScriptedPeer.SILENCE;
        });
        List<UpstreamClient.OutboundAttempt> both = Stream.generate(
                        () -> attempt(LONG_MICROS, clock.micros() + LONG_MICROS))
                .limit(2)
                .toList();
        onLoop(() -> client.send("r", both));
        await(() -> host.requests.size() == 1);
        onLoop(() -> {
            both.forEach(outbound -> client.cancel(outbound.attempt()));
            write(GOOD);
        });
        isWritten.countDown();
        assertBoth(AttemptOutcome.CANCELLED);
        assertConnectionIsNotReused();
    }

    /** A second response lies unread as the next call is about to be written: that call takes another connection. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void secondResponseUnreadBeforeTheNextCall(int firstReported) {
        batchOfTwo(request -> GOOD);
        assertDelivered();
        awaitSettled();
        host.answer(BatchCallTestBase::deliverAll);
        String second = ScriptedPeer.answer(200, delivered(2 * firstReported, 2));
        onLoop(() -> {
            write(second);
            KernelSocketState.ofPeer(host.connections.get(0)).awaitUnread(second.length());
            send(2, LONG_MICROS, clock.micros() + LONG_MICROS);
        });
        await(() -> results.size() == 4);
        assertEquals(2, host.connections.size());
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m2"));
    }

    /** A second response to the first call arrives when the next call is out: it names none of its messages. */
    @Test
    void secondResponseDuringTheNextCallDeliversNothing() {
        batchOfTwo(request -> GOOD);
        awaitSettled();
        host.answer(request -> GOOD);
        List<String> next = sendAndAwait(2);
        assertEquals(1, host.connections.size(), "the case needs one connection");
        for (String id : next) {
            assertFalse(results.get(id).isMessageCompleted());
            assertTrue(MAY_HAVE_RUN.contains(results.get(id).outcome()));
        }
    }
}
