package loftflow.listener.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.memory.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what requests reserve of the memory of a listener, and who is rejected where it is exhausted. */
@Timeout(60)
class RequestMemoryTest extends HttpListenerTestBase {
    private static final int CAPACITY_BYTES = 256 << 10;
    private static final int GUARANTEED_BYTES = 12 << 10;
    private static final String HEAD = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: m\r\nX-Call-Class: safe\r\n"
            + "X-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 60000\r\n\r\n";
    private static final String HALF_REQUEST = HEAD + "x".repeat(50_000);

    private final MemoryBudget memory = new MemoryBudget(CAPACITY_BYTES, GUARANTEED_BYTES);
    private final List<Socket> clients = new ArrayList<>();

    @BeforeEach
    void listenWithLittleMemory() throws InterruptedException {
        Clock clock = Clock.system();
        EventLoopLag eventLoopLag = new EventLoopLag((micros, task) -> () -> {}, clock);
        listener = new HttpListener(messageAcceptor, clock, eventLoopLag, 100, memory);
        address = (InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    @AfterEach
    void disconnect() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private Socket client() throws IOException {
        Socket client = connect();
        clients.add(client);
        return client;
    }

    private long heldBytes() {
        return loop.submit(memory::heldBytes).syncUninterruptibly().getNow();
    }

    @Test
    void newRequestIsRejectedWhileOthersAreRecentAndSmallOnesAreRead() throws IOException {
        for (int i = 0; i < 3; i++) {
            send(client(), HALF_REQUEST);
        }
        await(() -> heldBytes() > 3 * 60_000);
        Socket large = client();
        send(large, HALF_REQUEST);
        assertTrue(readResponse(large).startsWith("http/1.1 503 "));
        sendRequest(client());
        await(() -> messageAcceptor.submissions.size() == 1);
    }

    /** Guards against large requests that are rejected as long as others stop half way. */
    @Test
    void requestThatHasBeenIncompleteForLongMakesRoom() throws Exception {
        Socket stalled = client();
        send(stalled, HALF_REQUEST);
        send(client(), HALF_REQUEST);
        send(client(), HALF_REQUEST);
        await(() -> heldBytes() > 3 * 60_000);
        Thread.sleep(500);
        send(client(), HALF_REQUEST + "x".repeat(10_000));
        assertTrue(readResponse(stalled).startsWith("http/1.1 503 "));
        await(() -> messageAcceptor.submissions.size() == 1);
    }

    /** Guards against a budget that is used up by connections which hold nothing any more. */
    @Test
    void everythingIsReleasedByAnswersRejectionsAndDisconnections() throws IOException {
        for (int i = 0; i < 20; i++) {
            Socket answered = client();
            send(answered, HEAD.replace("/api", "/none") + "x".repeat(60_000));
            assertTrue(readResponse(answered).startsWith("http/1.1 404 "));
            Socket closing = client();
            send(
                    closing,
                    HEAD.replace("/api", "/none").replace("Host", "Connection: close\r\nHost") + "x".repeat(60_000));
            assertTrue(readResponse(closing).startsWith("http/1.1 404 "));
            Socket malformed = client();
            send(malformed, HEAD.replace("/api HTTP/1.1", "/api HTTP/1.0") + "x");
            assertTrue(readResponse(malformed).startsWith("http/1.1 505 "));
        }
        await(() -> heldBytes() < GUARANTEED_BYTES);
        Socket left = client();
        send(left, HALF_REQUEST);
        await(() -> heldBytes() > 50_000);
        disconnect();
        await(() -> heldBytes() == 0);
        assertEquals(0, messageAcceptor.submissions.size());
    }
}
