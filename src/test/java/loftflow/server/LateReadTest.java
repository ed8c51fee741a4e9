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

/** Requests that wait unread while the relay has no CPU: the wait counts towards their time budget. */
class LateReadTest extends RelayTestBase {
    private static final int BUDGET = 20_000;

    private int tries;
    private long waitedMs;

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), ScriptedPeer.always(status(200)));
        relay.start();
    }

    /** Sends a message that waits unread, on a connection that was opened before the relay was stopped or after. */
    private RelayProcess.Answer submitUnread(boolean known, long leastMs) throws IOException, InterruptedException {
        String message = RelayProcess.message("id" + tries++, "unsafe", 7, BUDGET, "hello");
        Socket first = known ? relay.connect() : null;
        if (known) {
            RelayProcess.exchange(first, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        relay.pause();
        try (Socket socket = known ? first : relay.connect()) {
            socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            long written = System.nanoTime();
            Thread.sleep(leastMs);
            waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - written);
            relay.resume();
            return RelayProcess.exchange(socket, "");
        }
    }

    private void timeRunsUnread(boolean known) throws IOException, InterruptedException {
        // On a busy machine a request may wait until it is too old and is rejected; then the next one is tried.
        while (submitUnread(known, 150).status() != 202) {
            assertTrue(tries < 20, "every request was rejected");
        }
        await(() -> host.requests.size() == 1);
        int budget = Integer.parseInt(host.requests.get(0).headers().get("x-budget-ms"));
        assertTrue(budget <= BUDGET - waitedMs, "waited " + waitedMs + " ms, budget " + budget);
    }

    @Test
    void timeRunsWhileARequestIsUnread() throws IOException, InterruptedException {
        timeRunsUnread(true);
    }

    @Test
    void timeRunsWhileAConnectionIsNotAccepted() throws IOException, InterruptedException {
        timeRunsUnread(false);
    }

    @Test
    void requestThatIsOlderThanItsClientWaitsIsRejected() throws IOException, InterruptedException {
        RelayProcess.Answer answer = submitUnread(true, 500);
        assertEquals(503, answer.status());
        assertTrue(answer.head().toLowerCase(Locale.ROOT).contains("retry-after"), answer.head());
        assertEquals(503, submitUnread(false, 500).status());
        assertEquals(0, host.requests.size());
    }
}
