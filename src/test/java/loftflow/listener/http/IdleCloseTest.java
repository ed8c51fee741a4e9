package loftflow.listener.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that requests that arrive just before the relay closes an idle connection get a response. */
@Timeout(60)
class IdleCloseTest extends HttpListenerTestBase {
    @BeforeEach
    void start() throws InterruptedException {
        listen();
    }

    /**
     * Guards against reading all idle connections before closing the first: a request that arrives on an earlier
     * connection while a later one's request is handled would get no response.
     */
    @Test
    void idleConnectionIsClosedBeforeTheNextOneIsRead() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            for (Socket client : new Socket[] {first, second}) {
                sendRequest(client);
                assertTrue(readResponse(client).startsWith("http/1.1 202"));
            }
            boolean[] isFirstClosed = new boolean[1];
            loop.submit(() -> {
                        listener.drain();
                        sendUnread(second);
                        messageAcceptor.onAccept = () -> {
                            messageAcceptor.onAccept = () -> {};
                            isFirstClosed[0] = isClosed(first);
                            if (!isFirstClosed[0]) {
                                sendUnread(first);
                            }
                        };
                        listener.closeIdle();
                    })
                    .sync();
            assertTrue(readResponse(second).startsWith("http/1.1 202"));
            assertTrue(
                    isFirstClosed[0] || readResponse(first).startsWith("http/1.1 202"),
                    "no response on the first connection");
        }
    }

    /** Returns whether the end of the stream has arrived. */
    private static boolean isClosed(Socket client) {
        try {
            client.setSoTimeout(100);
            return client.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Connections without a request are closed; one with a partly received request stays open. */
    @Test
    void idleConnectionsAreClosedAndPartlyReceivedRequestsAreAnswered() throws Exception {
        try (Socket idle = connect();
                Socket unused = connect();
                Socket partial = connect()) {
            sendRequest(idle);
            assertTrue(readResponse(idle).startsWith("http/1.1 202"));
            partial.getOutputStream().write(REQUEST.substring(0, 10).getBytes(StandardCharsets.US_ASCII));
            loop.submit(() -> {
                        listener.drain();
                        listener.closeIdle();
                    })
                    .sync();
            assertEquals("", readResponse(idle));
            assertEquals("", readResponse(unused));
            partial.getOutputStream().write(REQUEST.substring(10).getBytes(StandardCharsets.US_ASCII));
            assertTrue(readResponse(partial).startsWith("http/1.1 202"));
        }
    }

    /**
     * Guards against timeouts that close an idle connection without a final read: a request that arrives while the
     * event loop is blocked and the timeout becomes due is answered, on a used and on an unused connection.
     */
    @ParameterizedTest
    @CsvSource({"true, 10000", "false, 2500"})
    void requestArrivingAsTheTimeoutBecomesDueIsAnswered(boolean isUsed, long timeoutMillis) throws Exception {
        try (Socket client = connect()) {
            if (isUsed) {
                sendRequest(client);
                assertTrue(readResponse(client).startsWith("http/1.1 202"));
            } else {
                loop.submit(listener::readPending).sync();
            }
            // The loop is blocked until the timeout has expired. The request then arrives in the same event-loop
            // iteration that runs the timeout.
            loop.schedule(() -> RelayProcess.blockThread(200), timeoutMillis - 100, TimeUnit.MILLISECONDS);
            loop.schedule(() -> sendUnread(client), timeoutMillis - 50, TimeUnit.MILLISECONDS);
            assertTrue(readResponse(client).startsWith("http/1.1 202"), "connection closed without a response");
        }
    }
}
