package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests batch responses that arrive close to the end of their call, or during another call on the connection. */
@Timeout(60)
class BatchResponseOrderTest extends BatchCallTestBase {
    private static final String ALL_DELIVERED = ScriptedPeer.answer(200, bodyReportingDelivered(0, 2));
    private static final Result DELIVERED_TOO_LATE = new Result(AttemptOutcome.OK, false);
    private static final long LONG_MICROS = 30 * SECOND_MICROS;
    /** Longer than a call takes to reach the host, even on a busy machine. */
    private static final long SHORT_MILLIS = 2_000;
    /** Shorter than the maximum duration of a response. */
    private static final long MILLIS_BEFORE_TIMEOUT = 300;

    private static final int SLOW_PARTS = 4;
    /** Shorter than the time after which a response counts as stalled, which three of them exceed. */
    private static final long SLOW_PART_MILLIS = 300;
    /** Longer than the time after which a response counts as stalled. */
    private static final long MILLIS_PAST_STALL = 700;

    private static final long SECOND_TO_OWN_RESPONSE_MILLIS = 200;

    private final Set<String> disproved = ConcurrentHashMap.newKeySet();
    private Set<String> expectedLate = Set.of();
    private Set<String> expectedDisproved = Set.of();

    /** Sends m0 and m1 to a host that does not respond, and waits until it has received the call. */
    private void sendAndAwaitRequest(long timeoutMicros, long timeToDeadlineMicros) {
        send(2, timeoutMicros, clock.micros() + timeToDeadlineMicros);
        await(() -> host.requests.size() == 1);
    }

    /** Blocks the event loop for a time, then writes bytes and waits until they can be read in its next iteration. */
    private void writeAfterBlocking(long blockedMillis, String bytes) {
        onLoop(() -> {
            RelayProcess.blockThread(blockedMillis);
            writeUnread(bytes);
        });
    }

    /** Writes bytes and waits until the relay can read them. */
    private void writeUnread(String bytes) {
        write(bytes);
        KernelSocketState.ofPeer(latestConnection()).awaitUnread(bytes.length());
    }

    @Override
    Set<String> expectedLateDeliveries() {
        assertEquals(expectedDisproved, disproved);
        return expectedLate;
    }

    private void assertBothEndedAs(AttemptOutcome outcome) {
        await(() -> results.size() == 2);
        assertEquals(new Result(outcome, outcome == AttemptOutcome.OK), results.get("m0"));
        assertEquals(new Result(outcome, outcome == AttemptOutcome.OK), results.get("m1"));
    }

    /** Sends m0, which has little time left, and m1, which has much, in one call. */
    private UpstreamClient.OutboundAttempt sendWithDifferentDeadlines() {
        UpstreamClient.OutboundAttempt first = createAttempt(LONG_MICROS, clock.micros() + SHORT_MILLIS * MILLI_MICROS);
        UpstreamClient.OutboundAttempt second = createAttempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        onLoop(() -> client.send("r", List.of(first, second)));
        await(() -> host.requests.size() == 1);
        return first;
    }

    /** The response, or its last byte, arrives in the event-loop iteration in which the deadline passes. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void deliveryReportedAtTheDeadlineIsNotCountedAndNotTakenBack(boolean isLastByteOnly) {
        sendAndAwaitRequest(LONG_MICROS, SHORT_MILLIS * MILLI_MICROS);
        int split = isLastByteOnly ? ALL_DELIVERED.length() - 1 : 0;
        write(ALL_DELIVERED.substring(0, split));
        writeAfterBlocking(SHORT_MILLIS, ALL_DELIVERED.substring(split));
        await(() -> results.size() == 2);
        assertEquals(DELIVERED_TOO_LATE, results.get("m0"));
        assertEquals(DELIVERED_TOO_LATE, results.get("m1"));
    }

    /** Attempts of a round that the policy had put into calls of their own were sent in one. */
    @Test
    void attemptThatMayNotShareACallTravelsAlone() {
        host.answer(BatchResponseOrderTest::reportDelivered);
        long deadlineMicros = clock.micros() + LONG_MICROS;
        List<UpstreamClient.OutboundAttempt> attempts = Stream.generate(
                        () -> createAttempt(LONG_MICROS, deadlineMicros))
                .limit(3)
                .toList();
        Message.Attempt alone = attempts.get(1).attempt();
        onLoop(() -> client.send(
                "r",
                List.of(
                        attempts.get(0),
                        new UpstreamClient.OutboundAttempt(alone, LONG_MICROS, Long.MAX_VALUE, false, false),
                        attempts.get(2))));
        await(() -> results.size() == 3);
        assertEquals(2, host.requests.size());
        assertTrue(host.requests.stream().anyMatch(call -> "m1".equals(call.id())));
        assertTrue(host.requests.stream().noneMatch(call -> call.body().contains("\"m1\"")));
    }

    private static String reportDelivered(ScriptedPeer.Request call) {
        return ScriptedPeer.answer(200, "[{\"id\":\"m0\",\"state\":\"done\"},{\"id\":\"m2\",\"state\":\"done\"}]");
    }

    /** A message with time left was sent again, as the deadline of another one had passed when the relay read. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void deliveryReadAfterTheDeadlineOfAnotherMessageIsNotTakenBack(boolean isLastByteOnly) {
        sendWithDifferentDeadlines();
        int split = isLastByteOnly ? ALL_DELIVERED.length() - 1 : 0;
        write(ALL_DELIVERED.substring(0, split));
        writeAfterBlocking(SHORT_MILLIS, ALL_DELIVERED.substring(split));
        await(() -> results.size() == 2);
        assertEquals(DELIVERED_TOO_LATE, results.get("m1"));
    }

    /** The whole call was given up at the deadline of the message with the least time left. */
    @Test
    void slowResponseIsAwaitedForAMessageWithTimeLeft() {
        sendWithDifferentDeadlines();
        await(() -> results.containsKey("m0"));
        assertEquals(new Result(AttemptOutcome.TIMEOUT, false), results.get("m0"));
        assertFalse(results.containsKey("m1"));
        write(ALL_DELIVERED);
        await(() -> results.containsKey("m1"));
        assertEquals(DELIVERED_TOO_LATE, results.get("m1"));
        assertEquals(Map.of("m0", false), lateDeliveries);
        expectedLate = Set.of("m0");
    }

    /** A host whose call is over for one message may report anything of the others but what it has executed. */
    @ParameterizedTest
    @ValueSource(strings = {"busy", "used_up", "failed"})
    void rejectionReadAfterTheDeadlineOfAnotherMessageProvesNothing(String state) {
        sendWithDifferentDeadlines();
        await(() -> results.containsKey("m0"));
        write(ScriptedPeer.answer(200, "[{\"id\":\"m1\",\"state\":\"" + state + "\"}]"));
        await(() -> results.containsKey("m1"));
        assertEquals(new Result(AttemptOutcome.TIMEOUT, false), results.get("m1"));
    }

    /** A message that had timed out alone was sent again although the response named it as delivered. */
    @Test
    void deliveryOfAMessageThatTimedOutBeforeIsReported() {
        UpstreamClient.OutboundAttempt first = createAttempt(SHORT_MILLIS * MILLI_MICROS, clock.micros() + LONG_MICROS);
        UpstreamClient.OutboundAttempt second = createAttempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        onLoop(() -> client.send("r", List.of(first, second)));
        await(() -> results.containsKey("m0"));
        assertEquals(new Result(AttemptOutcome.TIMEOUT, false), results.get("m0"));
        write(ALL_DELIVERED);
        await(() -> results.containsKey("m1"));
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m1"));
        assertEquals(Map.of("m0", true), lateDeliveries);
        expectedLate = Set.of("m0");
    }

    /** A complete response at the timeout of the attempts applies if the deadline of their messages has not passed. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void completeResponseAtTheTimeoutDelivers(boolean isLastByteOnly) {
        sendAndAwaitRequest(SHORT_MILLIS * MILLI_MICROS, LONG_MICROS);
        int split = isLastByteOnly ? ALL_DELIVERED.length() - 1 : 0;
        write(ALL_DELIVERED.substring(0, split));
        writeAfterBlocking(SHORT_MILLIS, ALL_DELIVERED.substring(split));
        assertBothEndedAs(AttemptOutcome.OK);
    }

    /** At the timeout, all bytes of the response except the last have arrived. */
    @Test
    void incompleteResponseAtTheTimeoutEndsAsTimeout() {
        sendAndAwaitRequest(SHORT_MILLIS * MILLI_MICROS, LONG_MICROS);
        writeAfterBlocking(
                SHORT_MILLIS - MILLIS_BEFORE_TIMEOUT, ALL_DELIVERED.substring(0, ALL_DELIVERED.length() - 1));
        assertBothEndedAs(AttemptOutcome.TIMEOUT);
        await(() -> host.connections.get(0).isClosed());
        assertConnectionIsNotReused();
    }

    /** The last byte of the response does not arrive within the maximum duration of a response. */
    @Test
    void stalledResponseLeavesExecutionUncertain() {
        sendAndAwaitRequest(LONG_MICROS, LONG_MICROS);
        write(ALL_DELIVERED.substring(0, ALL_DELIVERED.length() - 1));
        await(() -> results.size() == 2);
        assertExecutionUncertain();
    }

    /** A whole response was taken for a malformed one, as its last byte came half a second behind its first. */
    @Test
    void responseThatArrivesSlowlyDelivers() {
        sendAndAwaitRequest(LONG_MICROS, LONG_MICROS);
        int partBytes = ALL_DELIVERED.length() / SLOW_PARTS;
        for (int part = 0; part < SLOW_PARTS; part++) {
            boolean isLast = part == SLOW_PARTS - 1;
            int end = isLast ? ALL_DELIVERED.length() : (part + 1) * partBytes;
            write(ALL_DELIVERED.substring(part * partBytes, end));
            RelayProcess.blockThread(isLast ? 0 : SLOW_PART_MILLIS);
        }
        assertBothEndedAs(AttemptOutcome.OK);
    }

    /** A whole response was taken for a malformed one, as the event loop ran the timer before it read the rest. */
    @Test
    void restThatIsUnreadWhenTheResponseSeemsStalledDelivers() {
        sendAndAwaitRequest(LONG_MICROS, LONG_MICROS);
        int split = ALL_DELIVERED.length() / 2;
        write(ALL_DELIVERED.substring(0, split));
        KernelSocketState host = KernelSocketState.of(latestConnection());
        KernelSocketState relay = KernelSocketState.ofPeer(latestConnection());
        await(() -> !host.hasUnacknowledged() && !relay.hasUnread());
        loop.execute(() -> {
            // Both timers are due when the event loop runs them. It polls the sockets before, without the rest.
            loop.schedule(() -> writeUnread(ALL_DELIVERED.substring(split)), 0, TimeUnit.MILLISECONDS);
            RelayProcess.blockThread(MILLIS_PAST_STALL);
        });
        assertBothEndedAs(AttemptOutcome.OK);
    }

    /** A cancelled attempt keeps its outcome, and its message is reported as delivered. */
    @Test
    void deliveryOfACancelledMessageIsReported() {
        UpstreamClient.OutboundAttempt first = createAttempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        UpstreamClient.OutboundAttempt second = createAttempt(LONG_MICROS, clock.micros() + LONG_MICROS);
        onLoop(() -> client.send("r", List.of(first, second)));
        await(() -> host.requests.size() == 1);
        onLoop(() -> client.cancel(first.attempt()));
        assertEquals(new Result(AttemptOutcome.CANCELLED, false), results.get("m0"));
        write(ALL_DELIVERED);
        await(() -> results.containsKey("m1"));
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m1"));
        assertEquals(new Result(AttemptOutcome.CANCELLED, false), results.get("m0"));
        assertEquals(Map.of("m0", true), lateDeliveries);
        expectedLate = Set.of("m0");
    }

    /**
     * A response is written right after its call was cancelled. The connection is closed, so no later call reads it.
     */
    @Test
    void responseAfterCancellationIsIgnored() {
        CountDownLatch isWritten = new CountDownLatch(1);
        host.answer(request -> {
            // Keeps the host from reading the end of the connection before the response has been written.
            try {
                isWritten.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return ScriptedPeer.SILENCE;
        });
        List<UpstreamClient.OutboundAttempt> both = Stream.generate(
                        () -> createAttempt(LONG_MICROS, clock.micros() + LONG_MICROS))
                .limit(2)
                .toList();
        onLoop(() -> client.send("r", both));
        await(() -> host.requests.size() == 1);
        onLoop(() -> {
            both.forEach(outbound -> client.cancel(outbound.attempt()));
            write(ALL_DELIVERED);
        });
        isWritten.countDown();
        assertBothEndedAs(AttemptOutcome.CANCELLED);
        assertConnectionIsNotReused();
    }

    /** A second response is still unread when the next call is sent: that call uses another connection. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void unreadSecondResponseIsNotReadByTheNextCall(int firstReported) {
        sendBatchOfTwo(request -> ALL_DELIVERED);
        assertDelivered();
        awaitSettled();
        host.answer(BatchCallTestBase::respondWithAllDelivered);
        String second = ScriptedPeer.answer(200, bodyReportingDelivered(2 * firstReported, 2));
        onLoop(() -> {
            write(second);
            KernelSocketState.ofPeer(host.connections.get(0)).awaitUnread(second.length());
            send(2, LONG_MICROS, clock.micros() + LONG_MICROS);
        });
        await(() -> results.size() == 4);
        assertEquals(2, host.connections.size());
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m2"));
    }

    /** The messages were sent again: the response to an earlier call, sent twice, ended the call before its own came. */
    @Test
    void secondResponseDuringTheNextCallDoesNotReplaceItsOwn() {
        sendBatchOfTwo(request -> ALL_DELIVERED);
        awaitSettled();
        host.answer(request -> ALL_DELIVERED);
        List<String> next = send(2, LONG_MICROS, clock.micros() + LONG_MICROS);
        await(() -> host.requests.size() == 2);
        RelayProcess.blockThread(SECOND_TO_OWN_RESPONSE_MILLIS);
        assertEquals(Set.of("m0", "m1"), results.keySet());
        write(ScriptedPeer.answer(200, bodyReportingDelivered(2, 2)));
        await(() -> results.size() == 4);
        assertEquals(1, host.connections.size(), "both calls use one connection");
        next.forEach(id -> assertEquals(new Result(AttemptOutcome.OK, true), results.get(id)));
    }

    /** The messages were sent again: a response to a single message, sent twice, ended the batch before its own came. */
    @ParameterizedTest
    @ValueSource(ints = {200, 503, 500})
    void ownResponseBehindOneThatNamesNobodyReportsTheDelivery(int status) {
        host.answer(request -> ScriptedPeer.status(status));
        send(1, LONG_MICROS, clock.micros() + LONG_MICROS);
        await(() -> results.size() == 1);
        awaitSettled();
        host.answer(request -> {
            write(ScriptedPeer.status(status));
            RelayProcess.blockThread(SECOND_TO_OWN_RESPONSE_MILLIS);
            return ScriptedPeer.answer(200, bodyReportingDelivered(1, 2));
        });
        sendRepeatable(2);
        await(() -> lateDeliveries.size() == 2);
        assertEquals(1, host.connections.size(), "both calls use one connection");
        assertEquals(Map.of("m1", true, "m2", true), lateDeliveries);
        expectedLate = Set.of("m1", "m2");
        expectedDisproved = status == 503 ? expectedLate : Set.of();
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        disproved.add(attempt.message().content().messageId());
    }

    /** A second response to the first call arrives during the next call and reports none of its messages. */
    @Test
    void secondResponseInPlaceOfTheNextOneLeavesExecutionUncertain() {
        sendBatchOfTwo(request -> ALL_DELIVERED);
        awaitSettled();
        host.answer(request -> ALL_DELIVERED);
        List<String> next = send(2, SHORT_MILLIS * MILLI_MICROS, clock.micros() + LONG_MICROS);
        await(() -> results.size() == 4);
        assertEquals(1, host.connections.size(), "both calls use one connection");
        next.forEach(id -> assertEquals(new Result(AttemptOutcome.TIMEOUT, false), results.get(id)));
    }
}
