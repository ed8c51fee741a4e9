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
 * Requests that arrive as their connection is evicted at the connection limit: each gets a response. The order of events
 * is forced on the event loop.
 */
@Timeout(60)
class ConnectionEvictionTest extends HttpListenerTestBase {
    private static final int MAX_CONNECTIONS = 4;
    private static final int HALF = REQUEST.length() / 2;
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

    /** A connection that the relay has accepted. */
    private Socket open() throws Exception {
        Socket client = connect();
        clients.add(client);
        loop.submit(listener::readPending).sync();
        return client;
    }

    private Socket openAndUse() throws Exception {
        Socket client = open();
        assertServes(client);
        // The response is received before the relay counts its connection as idle, which is the time that elapses
        // later.
        loop.submit(() -> {}).sync();
        return client;
    }

    private Socket openWithHalfARequest() throws Exception {
        Socket client = open();
        send(client, REQUEST.substring(0, HALF));
        awaitRead();
        return client;
    }

    /** Returns once the relay has read what was written before. */
    private void awaitRead() throws Exception {
        // Bytes over loopback have arrived when they are written; the next iteration of the event loop reads them.
        loop.submit(() -> {}).sync();
        loop.submit(() -> listener.connections().all().forEach(HttpClientConnection::readPending))
                .sync();
    }

    private static void assertServes(Socket client) throws IOException {
        sendRequest(client);
        assertTrue(readResponse(client).startsWith(ACCEPTED), "no response");
    }

    private static void assertRejected(Socket client) throws IOException {
        String response = readResponse(client);
        assertTrue(response.startsWith(REJECTED), "no response but: " + response);
        assertTrue(response.contains("connection: close"), response);
    }

    private void elapse(long micros) {
        nowMicros.addAndGet(micros);
    }

    /** Guards against connections in use that are closed, under their next request, for others with half a request. */
    @Test
    void connectionInUseOutlastsACrowdOfIncompleteRequests() throws Exception {
        List<Socket> inUse = List.of(openAndUse(), openAndUse());
        List<Socket> crowd = List.of(openWithHalfARequest(), openWithHalfARequest());
        elapse(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        openWithHalfARequest();
        openWithHalfARequest();
        openWithHalfARequest();
        for (Socket client : inUse) {
            assertServes(client);
        }
        for (Socket client : crowd) {
            assertRejected(client);
        }
    }

    @Test
    void requestThatArrivesAsItsUnusedConnectionIsEvictedIsRejected() throws Exception {
        Socket evicted = open();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            open();
        }
        evictOneThen(() -> sendRequest(evicted));
        assertRejected(evicted);
        assertEquals(0, messageAcceptor.submissions.size());
    }

    @Test
    void requestWhoseEndArrivesAsItsConnectionIsEvictedIsRejected() throws Exception {
        Socket evicted = openWithHalfARequest();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        int accepted = messageAcceptor.submissions.size();
        elapse(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        evictOneThen(() -> send(evicted, REQUEST.substring(HALF)));
        assertRejected(evicted);
        assertEquals(accepted, messageAcceptor.submissions.size());
    }

    /** Opens one connection more than the limit, and runs what follows before the event loop reads again. */
    private void evictOneThen(Runnable then) throws Exception {
        loop.submit(() -> {
                    clients.add(connect());
                    listener.acceptor().acceptPending();
                    then.run();
                    return null;
                })
                .sync();
    }

    @Test
    void endOfARequestThatIsPendingAtTheEvictionIsRead() throws Exception {
        Socket incomplete = openWithHalfARequest();
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        elapse(ConnectionLimiter.MIN_INCOMPLETE_MICROS);
        loop.submit(() -> {
                    sendUnread(incomplete, REQUEST.substring(HALF));
                    clients.add(connect());
                    listener.acceptor().acceptPending();
                    return null;
                })
                .sync();
        assertTrue(readResponse(incomplete).startsWith(ACCEPTED));
    }

    /** Guards against new connections that are closed without a response to a request that was written to them. */
    @Test
    void requestOnANewConnectionIsRejectedWhereAllOthersAreInUse() throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        int accepted = messageAcceptor.submissions.size();
        elapse(HttpListener.MIN_IDLE_MICROS - 1);
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
    void connectionThatHasBeenIdleForLongIsClosed() throws Exception {
        Socket idle = openAndUse();
        elapse(HttpListener.MIN_IDLE_MICROS);
        for (int i = 1; i < MAX_CONNECTIONS; i++) {
            openAndUse();
        }
        openAndUse();
        assertEquals("", readResponse(idle));
    }
}
