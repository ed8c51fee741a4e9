package loftflow.server;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import loftflow.engine.Clock;
import loftflow.engine.Message;
import loftflow.fake.ScriptedPeer;
import loftflow.journal.Journal;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a message is not sent any more once the relay has ended it or has received the report of its end. */
@Timeout(60)
class EndedMessageTest extends RelayTestBase {
    private static final Pattern MESSAGE_ID = Pattern.compile("\"id\":\"([^\"]+)\"");
    private static final long BUDGET_MICROS = 20_000_000;
    private static final long DISK_BYTES = 3 << 20;
    private static final int SHORT_BUDGET_MILLIS = 4_000;
    /** The back-off that makes the messages wait for each other, so that they share a call. */
    private static final String REJECTED = status(503, "X-Come-Back-Ms: 500");
    /** Longer than the relay waits before it sends a message again. */
    private static final long RETRY_MILLIS = 3_000;
    /** So many that the responses of the host count as different from each other. */
    private static final int DISTINCT_RESPONSES = 6;
    /** Longer than a connection is quiet before it carries its next call. */
    private static final long REUSE_MILLIS = 200;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
        relay.withKnownEndpoint("m1", 8, "many", host);
    }

    private static List<String> idsIn(ScriptedPeer.Request call) {
        return MESSAGE_ID
                .matcher(call.body())
                .results()
                .map(MatchResult::group)
                .map(field -> field.substring(6, field.length() - 1))
                .toList();
    }

    private static String allDelivered(ScriptedPeer.Request call) {
        return answer(
                200,
                idsIn(call).stream()
                        .map(id -> "{\"id\":\"" + id + "\",\"state\":\"done\"}")
                        .collect(Collectors.joining(",", "[", "]")));
    }

    /** The message was sent again, as a kill came between the record of its delivery and that of its end. */
    @ParameterizedTest
    @ValueSource(strings = {"safe", "keyed", "ordered"})
    void deliveryThatIsRecordedWithoutTheEndIsNotSentAgainAfterAKill(String requestClass) throws Exception {
        long nowMicros = Clock.system().micros();
        try (Journal journal = new Journal(relay.stateDirectory(), DISK_BYTES)) {
            Message message = new Message(
                    1,
                    new Message.Content(
                            "d1", requestClass, "acme", "key-d1", nowMicros + BUDGET_MICROS, 7, new byte[1]));
            assertTrue(journal.recordAccepted(message));
            Message.Attempt attempt = message.addAttempt("h1", nowMicros);
            assertTrue(journal.recordAttempt(attempt));
            attempt.outcome(AttemptOutcome.OK);
            journal.recordOutcome(attempt);
        }
        relay.start();
        await(() ->
                relay.hasNotified("d1", "dead") && relay.openJournalMessages().isEmpty());
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(List.of(), host.requests);
    }

    /** Submits a message with little time and two with much, which the host receives in one call. */
    private void submitToOneCall() throws IOException {
        relay.start().submitUntilAccepted("short", "keyed", 8, SHORT_BUDGET_MILLIS, "x");
        await(() -> host.requests.size() == 1);
        relay.submitUntilAccepted("long1", "keyed", 8);
        relay.submitUntilAccepted("long2", "safe", 8);
    }

    /** The messages with time left were sent again, as the deadline of the other one had passed when the relay read. */
    @Test
    void batchThatIsDeliveredWhileTheRelayIsSuspendedPastOneDeadlineIsNotSentAgain() throws Exception {
        host.answer(request -> {
            if (host.requests.size() == 1) {
                return REJECTED;
            }
            if (!request.line().contains("many")) {
                return status(200);
            }
            try {
                relay.pause();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return allDelivered(request);
        });
        submitToOneCall();
        await(() -> host.requests.size() == 2);
        assertEquals(List.of("short", "long1", "long2"), idsIn(host.requests.get(1)));
        TimeUnit.MILLISECONDS.sleep(SHORT_BUDGET_MILLIS);
        relay.resume();
        await(() -> relay.openJournalMessages().isEmpty());
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(2, host.requests.size(), () -> "calls " + host.requests);
        for (String id : List.of("short", "long1", "long2")) {
            assertTrue(relay.hasNotified(id, "dead"), id);
        }
    }

    /** The messages with time left were given up and sent again when the deadline of the other one came. */
    @Test
    void batchThatIsDeliveredAfterTheDeadlineOfOneMessageIsNotSentAgain() throws Exception {
        host.answer(request -> {
            if (host.requests.size() == 1) {
                return REJECTED;
            }
            if (request.line().contains("many")) {
                await(() -> relay.hasNotified("short", "dead"));
                return allDelivered(request);
            }
            return status(200);
        });
        submitToOneCall();
        await(() -> host.requests.size() == 2);
        assertEquals(List.of("short", "long1", "long2"), idsIn(host.requests.get(1)));
        await(() -> relay.hasNotified("long1", "dead") && relay.hasNotified("long2", "dead"));
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(2, host.requests.size(), () -> "calls " + host.requests);
    }

    /** The message was sent again, as its response equalled an earlier one by chance and was taken for a copy. */
    @Test
    void deliveryReportedByAResponseThatEqualsAnEarlierOneIsNotSentAgain() throws Exception {
        host.answer(request -> answer(200, "equal".equals(request.id()) ? "to m5" : "to " + request.id()));
        relay.start();
        for (int i = 0; i < DISTINCT_RESPONSES; i++) {
            int calls = i + 1;
            relay.submitUntilAccepted("m" + i, "safe", 8);
            await(() -> host.requests.size() == calls);
            TimeUnit.MILLISECONDS.sleep(REUSE_MILLIS);
        }
        relay.submitUntilAccepted("equal", "safe", 8);
        await(() -> host.requests.size() == DISTINCT_RESPONSES + 1);
        await(() -> relay.openJournalMessages().isEmpty());
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(1, host.connections.size());
        assertEquals(DISTINCT_RESPONSES + 1, host.requests.size(), () -> "calls " + host.requests);
        assertTrue(relay.hasNotified("equal", "dead"));
    }
}
