package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the time for which a request waits unread in a relay without CPU counts towards its time budget. */
class LateReadTest extends RelayTestBase {
    private static final int BUDGET_MILLIS = 20_000;

    private int submitted;
    private long waitedMillis;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
        relay.start();
    }

    /**
     * Suspends the relay while a message is unread.
     *
     * @param isAccepted whether the relay accepts the connection before it is suspended
     * @param minWaitMillis the minimum time for which the message is unread
     */
    private RelayProcess.Response submitUnread(boolean isAccepted, long minWaitMillis)
            throws IOException, InterruptedException {
        String message = RelayProcess.message("id" + submitted++, "unsafe", 7, BUDGET_MILLIS, "hello");
        Socket acceptedSocket = isAccepted ? relay.connect() : null;
        if (isAccepted) {
            RelayProcess.exchange(acceptedSocket, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        relay.pause();
        try (Socket socket = isAccepted ? acceptedSocket : relay.connect()) {
            socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            long writtenAtNanos = System.nanoTime();
            Thread.sleep(minWaitMillis);
            waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAtNanos);
            relay.resume();
            return RelayProcess.exchange(socket, "");
        }
    }

    private void checkBudgetIncludesWait(boolean isAccepted) throws IOException, InterruptedException {
        // On a busy machine a request may wait so long that it is rejected; another one is submitted then.
        while (submitUnread(isAccepted, 150).status() != 202) {
            assertTrue(submitted < 20, "every request was rejected");
        }
        await(() -> host.requests.size() == 1);
        int budgetMillis = Integer.parseInt(host.requests.get(0).headers().get("x-budget-ms"));
        assertTrue(
                budgetMillis <= BUDGET_MILLIS - waitedMillis,
                "waited " + waitedMillis + " ms, budget in ms: " + budgetMillis);
    }

    @Test
    void waitOfAnUnreadRequestCountsTowardsItsBudget() throws IOException, InterruptedException {
        checkBudgetIncludesWait(true);
    }

    @Test
    void waitOnAnUnacceptedConnectionCountsTowardsTheBudget() throws IOException, InterruptedException {
        checkBudgetIncludesWait(false);
    }

    @Test
    void requestOlderThanTheClientTimeoutIsRejected() throws IOException, InterruptedException {
        RelayProcess.Response response = submitUnread(true, 500);
        assertEquals(503, response.status());
        assertTrue(response.head().toLowerCase(Locale.ROOT).contains("retry-after"), response.head());
        assertEquals(503, submitUnread(false, 500).status());
        assertEquals(0, host.requests.size());
    }
}
