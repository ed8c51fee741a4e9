package loftflow.listener.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.listener.connection.ConnectionLimiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that every request that arrives while its connection is evicted at the connection limit gets a response. Tests
 * in which the order of events matters control it by running on the event loop.
 */
@Timeout(60)
class ConnectionEvictionTest extends HttpListenerTestBase {
    private static final int MAX_CONNECTIONS = 4;
    private static final int HALF_LENGTH = REQUEST.length() / 2;
    private static final String ACCEPTED = "http/1.1 202";
    private static final String REJECTED = "http/1.1 503";

    private final AtomicLong nowMicros = new AtomicLong();
    private final List<Socket> clients = new ArrayList<>();

    @BeforeEach
    void start() throws InterruptedException {
        listen(nowMicros::get, MAX_CONNECTIONS);
    }

    @AfterEach
    void disconnect() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Opens a connection and returns once the relay has accepted it. */
    private Socket open() throws Exception {
        Socket client = connect();
        clients.add(client);
        loop.submit(listener::readPending).sync();
        return client;
    }

    private Socket openAndUse() throws Exception {
        Socket client = open();
        assertServes(client);
        // The client may receive the response before the relay records the start of the idle time.
        loop.submit(() -> {}).sync();
        return client;
    }

    private Socket openWithHalfARequest() throws Exception {
        Socket client = open();
        send(client, REQUEST.substring(0, HALF_LENGTH));
        awaitRead();
        return client;
    }

    /** Returns once the relay has read all bytes that were written before the call. */
    private void awaitRead() throws Exception {
        // Bytes on the loopback interface arrive as they are written; the next event-loop iteration reads them.
        loop.submit(() -> {}).sync();
        loop.submit(() -> listener.connections().all().forEach(HttpClientConnection::readPending))
                .sync();
    }

    private static void assertServes(Socket client) throws IOException {
        sendRequest(client);
        assertTrue(readResponse(client).startsWith(ACCEPTED), "request was not accepted");
    }

    private static void assertRejected(Socket client) throws IOException {
        String response = readResponse(client);
        assertTrue(response.startsWith(REJECTED), "expected 503, got: " + response);
        assertTrue(response.contains("connection: close"), response);
    }

    private void advanceClock(long micros) {
        nowMicros.addAndGet(micros);
    }

    /**
     * Guards against evicting a recently used connection, with its next request in transit, for incomplete requests.
     */
    @Test
    void connectionsInUseSurviveAFloodOfIncompleteRequests() throws Exception {
        List<Socket> inUse = List.of(openAndUse(), openAndUse());
        List<Socket> incomplete = List.of(openWithHalfARequest(), openWithHalfARequest());
        advanceClock(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        openWithHalfARequest();
        openWithHalfARequest();
        openWithHalfARequest();
        for (Socket client : inUse) {
            assertServes(client);
        }
        for (Socket client : incomplete) {
            assertRejected(client);
        }
    }

    @Test
    void requestArrivingDuringEvictionOfItsUnusedConnectionIsRejected() throws Exception {
        Socket evicted = open();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            open();
        }
        evictOneAndRun(() -> sendRequest(evicted));
        assertRejected(evicted);
        assertEquals(0, messageAcceptor.submissions.size());
    }

    @Test
    void requestCompletedDuringEvictionOfItsConnectionIsRejected() throws Exception {
        Socket evicted = openWithHalfARequest();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        int accepted = messageAcceptor.submissions.size();
        advanceClock(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        evictOneAndRun(() -> send(evicted, REQUEST.substring(HALF_LENGTH)));
        assertRejected(evicted);
        assertEquals(accepted, messageAcceptor.submissions.size());
    }

    /** Exceeds the limit by one connection, and runs a task before the event loop reads again. */
    private void evictOneAndRun(Runnable task) throws Exception {
        loop.submit(() -> {
                    clients.add(connect());
                    listener.acceptor().acceptPending();
                    task.run();
                    return null;
                })
                .sync();
    }

    @Test
    void requestWhoseLastBytesArePendingIsReadBeforeEviction() throws Exception {
        Socket incomplete = openWithHalfARequest();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        advanceClock(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        loop.submit(() -> {
                    sendUnread(incomplete, REQUEST.substring(HALF_LENGTH));
                    clients.add(connect());
                    listener.acceptor().acceptPending();
                    return null;
                })
                .sync();
        assertTrue(readResponse(incomplete).startsWith(ACCEPTED));
    }

    /** Guards against closing a new connection without a response to the request that was written to it. */
    @Test
    void requestOnANewConnectionIsRejectedIfAllOthersAreInUse() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        int accepted = messageAcceptor.submissions.size();
        advanceClock(HttpListener.MIN_IDLE_MICROS - 1);
        List<Socket> inUse = List.copyOf(clients);
        Socket withRequest = loop.submit(() -> {
                    Socket client = connect();
                    sendUnread(client, REQUEST);
                    return client;
                })
                .get();
        clients.add(withRequest);
        assertRejected(withRequest);
        assertEquals(accepted, messageAcceptor.submissions.size());
        for (Socket client : inUse) {
            assertServes(client);
        }
    }

    @Test
    void connectionIdleForTheMinimumIdleTimeIsClosed() throws Exception {
        Socket idle = openAndUse();
        advanceClock(HttpListener.MIN_IDLE_MICROS);
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        openAndUse();
        assertEquals("", readResponse(idle));
    }
}
