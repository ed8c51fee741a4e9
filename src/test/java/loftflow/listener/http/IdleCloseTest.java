package loftflow.listener.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.listener.FakeMessageAcceptor;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests that arrive just before the relay closes an idle connection. */
@Timeout(60)
class IdleCloseTest {
    private static final String REQUEST =
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: m\r\nX-Call-Class: safe\r\n"
                    + "X-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\nx";
    private static final int RECEIVE_TIMEOUT_MILLIS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final FakeMessageAcceptor messageAcceptor = new FakeMessageAcceptor();
    private HttpListener listener;
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws InterruptedException {
        Clock clock = Clock.system();
        listener = new HttpListener(messageAcceptor, clock, new EventLoopLag((micros, task) -> () -> {}, clock), 8);
        address = (InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
        return client;
    }

    /** Writes a request from the event loop, which does not read it; returns when it has arrived. */
    private static void sendUnread(Socket client) {
        sendRequest(client);
        KernelSocketState.ofPeer(client).awaitUnread();
    }

    private static void sendRequest(Socket client) {
        try {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads one response, which has no body; empty where the connection ended without one. */
    private static String readResponse(Socket client) throws IOException {
        StringBuilder response = new StringBuilder();
        try {
            for (int next = client.getInputStream().read();
                    next >= 0 && !response.toString().endsWith("\r\n\r\n");
                    next = response.toString().endsWith("\r\n\r\n")
                            ? -1
                            : client.getInputStream().read()) {
                response.append((char) next);
            }
        } catch (IOException reset) {
            return response.toString();
        }
        return response.toString().toLowerCase(Locale.ROOT);
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
