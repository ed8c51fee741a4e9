package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests that repeat the id of a message: an id is sent to no host once its message has ended. */
@Timeout(60)
class RepeatedMessageIdTest extends RelayTestBase {
    private static final int ACCEPTED = 202;
    private static final int FAILED = 500;
    private static final int DESTINATION = 7;
    private static final int BUDGET_MILLIS = 2_000;
    /** Longer than the relay takes to send a message that it has accepted. */
    private static final long SEND_MILLIS = 500;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
        relay.start();
    }

    private int submit(String requestClass, String body) throws IOException {
        return relay.submit("same", requestClass, DESTINATION, BUDGET_MILLIS, body);
    }

    private void deliver(String requestClass) {
        relay.submitUntilAccepted("same", requestClass, DESTINATION, BUDGET_MILLIS, "first");
        await(() -> host.requests.size() == 1 && relay.openJournalMessages().isEmpty());
    }

    private void assertSentOnce() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SEND_MILLIS);
        assertEquals(1, host.requests.size(), () -> "calls " + host.requests);
    }

    /** The id of a delivered message went to a host a second time, with the body of another client. */
    @ParameterizedTest
    @ValueSource(strings = {"safe", "keyed", "unsafe"})
    void anotherMessageWithTheIdOfADeliveredOneFails(String requestClass) throws Exception {
        deliver(requestClass);
        assertEquals(FAILED, submit(requestClass, "other"));
        assertSentOnce();
    }

    /** A delivered message that its client handed in again was sent again. */
    @ParameterizedTest
    @CsvSource({"safe, 202", "keyed, 500", "unsafe, 500"})
    void repeatOfADeliveredMessageIsNotSent(String requestClass, int status) throws Exception {
        deliver(requestClass);
        assertEquals(status, submit(requestClass, "first"));
        assertSentOnce();
    }

    /** The id of a message that had ended by a notice went to a host again. */
    @ParameterizedTest
    @CsvSource({"safe, bounced", "unsafe, dead"})
    void idOfAMessageThatEndedByANoticeIsNotSent(String requestClass, String result) throws Exception {
        host.answer(request -> status(500));
        relay.submitUntilAccepted("same", requestClass, DESTINATION, BUDGET_MILLIS, "first");
        await(() ->
                relay.hasNotified("same", result) && relay.openJournalMessages().isEmpty());
        int calls = host.requests.size();
        host.answer(request -> status(200));
        assertEquals(FAILED, submit(requestClass, "first"));
        TimeUnit.MILLISECONDS.sleep(SEND_MILLIS);
        assertEquals(calls, host.requests.size(), () -> "calls " + host.requests);
    }

    /** A message was answered 202 though another one with its id was open, and was never sent. */
    @Test
    void anotherMessageWithTheIdOfAnOpenOneFails() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        host.answer(request -> {
            awaitLatch(mayAnswer);
            return status(200);
        });
        relay.submitUntilAccepted("same", "safe", DESTINATION, BUDGET_MILLIS, "first");
        await(() -> host.requests.size() == 1);
        assertEquals(FAILED, submit("safe", "other"));
        assertEquals(FAILED, submit("keyed", "first"));
        assertEquals(ACCEPTED, submit("safe", "first"));
        mayAnswer.countDown();
        await(() -> relay.openJournalMessages().isEmpty());
        assertSentOnce();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** A request that was begun before the end of the message with its id, and was whole behind it, was sent. */
    @Test
    void requestThatIsWholeAfterTheEndOfTheMessageWithItsIdFails() throws Exception {
        String request = RelayProcess.message("same", "unsafe", DESTINATION, BUDGET_MILLIS, "other");
        int split = request.length() - 1;
        try (Socket socket = relay.connect()) {
            socket.getOutputStream().write(request.substring(0, split).getBytes());
            deliver("unsafe");
            assertEquals(
                    FAILED,
                    RelayProcess.exchange(socket, request.substring(split)).status());
        }
        assertSentOnce();
    }

    /** A rejected request has not been accepted, so its client may repeat it. */
    @Test
    void idOfARejectedRequestIsFree() throws Exception {
        assertTrue(List.of(400, 503).contains(relay.submit("same", "safe", DESTINATION + 1)));
        deliver("safe");
        assertSentOnce();
    }
}
