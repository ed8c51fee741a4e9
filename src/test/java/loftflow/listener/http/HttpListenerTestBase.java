package loftflow.listener.http;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.listener.FakeMessageAcceptor;
import loftflow.server.KernelSocketState;
import org.junit.jupiter.api.AfterEach;

/** Runs an HTTP/1.1 listener, and provides clients that send and receive over plain sockets. */
abstract class HttpListenerTestBase {
    static final String REQUEST = "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: m\r\nX-Call-Class: safe\r\n"
            + "X-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\nx";
    private static final int RECEIVE_TIMEOUT_MILLIS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final FakeMessageAcceptor messageAcceptor = new FakeMessageAcceptor();
    HttpListener listener;
    InetSocketAddress address;

    /** Starts the listener with the system clock and a connection limit that the tests do not reach. */
    void listen() throws InterruptedException {
        listen(Clock.system(), 8);
    }

    /** Starts the listener with a clock and a connection limit. */
    void listen(Clock clock, int maxConnections) throws InterruptedException {
        EventLoopLag eventLoopLag = new EventLoopLag((micros, task) -> () -> {}, clock);
        listener = new HttpListener(messageAcceptor, clock, eventLoopLag, maxConnections);
        address = (InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
        return client;
    }

    /**
     * Sends a request and returns once it is pending in the relay's socket. Called on the event loop, which therefore
     * does not read the request meanwhile.
     */
    static void sendUnread(Socket client) {
        sendUnread(client, REQUEST);
    }

    static void sendUnread(Socket client, String text) {
        send(client, text);
        KernelSocketState.ofPeer(client).awaitUnread();
    }

    static void sendRequest(Socket client) {
        send(client, REQUEST);
    }

    static void send(Socket client, String text) {
        try {
            client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads one response, which has no body, and returns it in lower case; empty if the connection closed without a
     * response.
     */
    static String readResponse(Socket client) throws IOException {
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
}
