package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests outcomes that were taken from a copy of an earlier response and that the real response contradicts. */
@Timeout(60)
class DisprovedOutcomeTest extends RelayTestBase {
    /** Longer than a copy is expected, so that no response is held back. */
    private static final long NEXT_CALL_MILLIS = 600;
    /** Until the copy, which is no sooner than the host has responded before. */
    private static final long COPY_MILLIS = 150;
    /** Until the response to the second call, which comes after the copy. */
    private static final long RESPONSE_MILLIS = 300;

    /** Longer than the relay waits before it sends a message again. */
    private static final long RETRY_MILLIS = 2_000;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
    }

    /** Sends m0, whose response is sent twice, and then a message whose call the copy ends before its response. */
    private void submitBehindCopy(int firstStatus, int nextStatus, String requestClass) throws Exception {
        host.answer(request -> {
            switch ((int) host.count("POST")) {
                case 1:
                    return status(firstStatus);
                case 2:
                    RelayProcess.blockThread(COPY_MILLIS);
                    write(host.connections.get(0), status(firstStatus));
                    RelayProcess.blockThread(RESPONSE_MILLIS);
                    return status(nextStatus);
                default:
                    return status(200);
            }
        });
        relay.start();
        assertEquals(202, relay.submit("m0", "unsafe", 7));
        await(() -> host.requests.size() == 1);
        TimeUnit.MILLISECONDS.sleep(NEXT_CALL_MILLIS);
        assertEquals(202, relay.submit("m1", requestClass, 7));
    }

    private void awaitDisproved() {
        await(() -> relay.log().contains("engine: outcome disproved message=m1"));
        await(() -> host.connections.get(0).isClosed());
    }

    private static void write(Socket connection, String response) {
        try {
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private List<String> sentIds() {
        return host.requests.stream().map(ScriptedPeer.Request::id).toList();
    }

    /** The message was lost, as the copy had closed it as delivered, and later sent again after that end. */
    @Test
    void idempotentMessageDeliveredByACopyIsReportedAsFailedAndNotSentAgain() throws Exception {
        submitBehindCopy(200, 503, "safe");
        awaitDisproved();
        await(() ->
                relay.hasNotified("m1", "dead") && relay.openJournalMessages().isEmpty());
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(List.of("m0", "m1"), sentIds());
    }

    /** A message that its response had ended was sent again, as that or the next response was spoilt. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK|Content-Length: x||, m2", "x9 noise||, m1"})
    void deliveredMessageIsNotSentAgainBehindASpoiltResponse(String spoilt, String disproved) throws Exception {
        host.answer(request -> host.count("POST") == 3 ? spoilt.replace("|", "\r\n") : status(200));
        relay.start();
        for (String id : List.of("m0", "m1", "m2")) {
            int callsBefore = host.requests.size();
            assertEquals(202, relay.submit(id, "safe", 7));
            await(() -> host.requests.size() == callsBefore + 1);
            TimeUnit.MILLISECONDS.sleep(NEXT_CALL_MILLIS);
        }
        await(() -> relay.hasNotified(disproved, "dead"));
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        assertEquals(1, sentIds().stream().filter(disproved::equals).count(), () -> "sent " + sentIds());
    }

    /** The message was lost: the copy had closed it as delivered. */
    @Test
    void nonIdempotentMessageDeliveredByACopyIsReportedAsFailed() throws Exception {
        submitBehindCopy(200, 503, "unsafe");
        awaitDisproved();
        await(() ->
                relay.hasNotified("m1", "dead") && relay.openJournalMessages().isEmpty());
        assertEquals(List.of("m0", "m1"), sentIds());
    }

    /** The message is lost: a kill forgets it before the response that contradicts the copy. */
    @Tag("known-red")
    @Test
    void messageDeliveredByACopyBeforeAKillIsReportedAsFailed() throws Exception {
        host.answer(request -> {
            if (host.count("POST") == 1) {
                RelayProcess.blockThread(RESPONSE_MILLIS);
            } else {
                write(host.connections.get(0), status(200));
                RelayProcess.blockThread(RESPONSE_MILLIS);
            }
            return status(host.count("POST") == 1 ? 200 : 503);
        });
        relay.start();
        assertEquals(202, relay.submit("m0", "unsafe", 7));
        await(() -> host.requests.size() == 1);
        TimeUnit.MILLISECONDS.sleep(NEXT_CALL_MILLIS);
        assertEquals(202, relay.submit("m1", "unsafe", 7));
        await(() -> host.requests.size() == 2);
        TimeUnit.MILLISECONDS.sleep(RESPONSE_MILLIS / 2);
        relay.kill();
        relay.start();
        await(() -> relay.hasNotified("m1", "dead"));
        assertEquals(List.of("m0", "m1"), sentIds());
    }

    /** A later message with its ordering key may have been sent since. */
    @Test
    void orderedMessageDeliveredByACopyIsReportedAsFailed() throws Exception {
        submitBehindCopy(200, 503, "ordered");
        awaitDisproved();
        await(() ->
                relay.hasNotified("m1", "dead") && relay.openJournalMessages().isEmpty());
        assertEquals(List.of("m0", "m1"), sentIds());
    }

    /** The platform was told nothing of a message that had been withdrawn by the copy of another one's response. */
    @Test
    void messageWithdrawnByACopyIsReportedAsFailed() throws Exception {
        submitBehindCopy(410, 500, "unsafe");
        await(() -> relay.hasNotified("m1", "dead"));
        assertFalse(relay.hasNotified("m1", "bounced"));
    }
}
