package loftflow.listener.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.listener.FakeMessageAcceptor;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import org.junit.jupiter.api.AfterEach;

/** Runs an HTTP/2 listener on its own event loop, with a message acceptor that the test controls. */
abstract class Http2TestBase {
    static final long SECOND_MICROS = 1_000_000;
    static final int NO_ERROR = 0;
    static final int PROTOCOL_ERROR = 1;
    static final int STREAM_CLOSED = 5;
    static final int FRAME_SIZE_ERROR = 6;
    static final int REFUSED_STREAM = 7;
    static final int ENHANCE_YOUR_CALM = 11;
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final FakeMessageAcceptor messageAcceptor = new FakeMessageAcceptor();
    final Clock clock = Clock.system();
    final EventLoopLag eventLoopLag = new EventLoopLag(
            (micros, task) -> {
                var timer = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
                return () -> timer.cancel(false);
            },
            clock);
    final List<RawHttp2Client> clients = new ArrayList<>();
    Http2Listener listener;
    int port;

    static Http2Listener.Options defaultOptions() {
        return options(
                100,
                400,
                1 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS));
    }

    static Http2Listener.Options options(
            int maxStreamsPerConnection, int maxStreams, long poolBytes, ConnectionExpiry.TimeLimits limits) {
        return new Http2Listener.Options(
                20,
                new ConcurrentStreamLimit.Bounds(2, maxStreamsPerConnection, maxStreams),
                16 << 10,
                256 << 10,
                poolBytes,
                Map.of("settlement", 0.8, "car-order", 0.2),
                100,
                limits,
                SECOND_MICROS);
    }

    void serve(Http2Listener.Options options) {
        listener = new Http2Listener(messageAcceptor, clock, eventLoopLag, options);
        onLoop(() -> {
            eventLoopLag.start();
            return null;
        });
        port = ((InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel()
                        .localAddress())
                .getPort();
    }

    /** Opens a connection and returns once the relay's SETTINGS have been received. */
    RawHttp2Client client() throws IOException {
        RawHttp2Client client = RawHttp2Client.open("127.0.0.1", port);
        clients.add(client);
        client.await(() -> !client.streamLimits.isEmpty());
        return client;
    }

    /** Opens a connection without sending anything on it. */
    RawHttp2Client clientWithoutPreface() throws IOException {
        RawHttp2Client client = new RawHttp2Client("127.0.0.1", port);
        clients.add(client);
        return client;
    }

    /** Runs a task on the event loop and returns its result. */
    <T> T onLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** Accepts the submission at an index. */
    void acceptSubmission(int index) {
        onLoop(() -> {
            messageAcceptor.submissions.get(index).client().accepted();
            return null;
        });
    }

    /** Asserts that a message on a new connection is accepted. */
    void assertServes(String messageId) throws IOException {
        RawHttp2Client other = client();
        boolean acceptedAll = messageAcceptor.acceptsAll;
        messageAcceptor.acceptsAll = true;
        assertEquals(202, other.status(other.send(RawHttp2Client.message(messageId), "x")));
        messageAcceptor.acceptsAll = acceptedAll;
        other.close();
    }

    @AfterEach
    void stop() throws IOException {
        for (RawHttp2Client client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
