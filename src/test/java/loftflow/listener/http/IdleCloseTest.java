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

/** Requests that arrive just before the relay closes an idle connection. */
@Timeout(60)
class IdleCloseTest extends HttpListenerTestBase {
    @BeforeEach
    void start() throws InterruptedException {
        listen();
    }

    /**
     * Guards against idle connections that are all read before the first of them is closed: while a later one's request
     * is handled, an earlier one is closed already, or what arrives on it is answered.
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
            assertTrue(isFirstClosed[0] || readResponse(first).startsWith("http/1.1 202"), "no response");
        }
    }

    /** Returns true where the end of the stream has arrived. */
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

    /** Connections without a request are closed, and one with a part of a request is not. */
    @Test
    void idleConnectionsAreClosedAndBegunRequestsAreAnswered() throws Exception {
        try (Socket idle = connect();
                Socket unused = connect();
                Socket begun = connect()) {
            sendRequest(idle);
            assertTrue(readResponse(idle).startsWith("http/1.1 202"));
            begun.getOutputStream().write(REQUEST.substring(0, 10).getBytes(StandardCharsets.US_ASCII));
            loop.submit(() -> {
                        listener.drain();
                        listener.closeIdle();
                    })
                    .sync();
            assertEquals("", readResponse(idle));
            assertEquals("", readResponse(unused));
            begun.getOutputStream().write(REQUEST.substring(10).getBytes(StandardCharsets.US_ASCII));
            assertTrue(readResponse(begun).startsWith("http/1.1 202"));
        }
    }

    /**
     * Guards against timeouts that close an idle connection without a last read: a request that arrives while the event
     * loop is busy as the timeout becomes due is answered, on a used and on an unused connection.
     */
    @ParameterizedTest
    @CsvSource({"true, 10000", "false, 2500"})
    void requestThatArrivesAsTheTimeoutBecomesDueIsAnswered(boolean used, long timeoutMillis) throws Exception {
        try (Socket client = connect()) {
            if (used) {
                sendRequest(client);
                assertTrue(readResponse(client).startsWith("http/1.1 202"));
            } else {
                loop.submit(listener::readPending).sync();
            }
            // The loop is blocked until the timeout is past; the request arrives behind that, in the pass of the
            // timeout.
            loop.schedule(() -> RelayProcess.blockThread(200), timeoutMillis - 100, TimeUnit.MILLISECONDS);
            loop.schedule(() -> sendUnread(client), timeoutMillis - 50, TimeUnit.MILLISECONDS);
            assertTrue(readResponse(client).startsWith("http/1.1 202"), "the connection ended without a response");
        }
    }
}
