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

/** A listener on a loop of its own, whose messages the test answers. */
abstract class Http2TestBase {
    static final long SECOND = 1_000_000;
    static final int NO_ERROR = 0;
    static final int PROTOCOL_ERROR = 1;
    static final int STREAM_CLOSED = 5;
    static final int FRAME_SIZE = 6;
    static final int REFUSED = 7;
    static final int CALM = 11;
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final FakeMessageAcceptor intake = new FakeMessageAcceptor();
    final Clock clock = Clock.system();
    final EventLoopLag pulse = new EventLoopLag(
            (micros, task) -> {
                var timer = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
                return () -> timer.cancel(false);
            },
            clock);
    final List<RawClient> clients = new ArrayList<>();
    Http2Listener server;
    int port;

    static Http2Listener.Options usual() {
        return with(100, 400, 1 << 20, new ConnectionExpiry.Spans(SECOND, 60 * SECOND, 0, SECOND));
    }

    static Http2Listener.Options with(int streams, int total, long pool, ConnectionExpiry.Spans spans) {
        return new Http2Listener.Options(
                20,
                new ConcurrentStreamLimit.Bounds(2, streams, total),
                16 << 10,
                256 << 10,
                pool,
                Map.of("settlement", 0.8, "car-order", 0.2),
                100,
                spans,
                SECOND);
    }

    void serve(Http2Listener.Options options) {
        server = new Http2Listener(intake, clock, pulse, options);
        on(() -> {
            pulse.start();
            return null;
        });
        port = ((InetSocketAddress) server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .syncUninterruptibly()
                        .channel()
                        .localAddress())
                .getPort();
    }

    RawClient client() throws IOException {
        RawClient client = RawClient.open("127.0.0.1", port);
        clients.add(client);
        client.await(() -> !client.offered.isEmpty());
        return client;
    }

    RawClient silentClient() throws IOException {
        RawClient client = new RawClient("127.0.0.1", port);
        clients.add(client);
        return client;
    }

    /** Does something on the loop. */
    <T> T on(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    /** The message that was handed in as so many before it were is taken on. */
    void take(int index) {
        on(() -> {
            intake.submissions.get(index).client().accepted();
            return null;
        });
    }

    /** A message on a connection of its own is answered. */
    void assertServes(String id) throws IOException {
        RawClient other = client();
        boolean before = intake.acceptsAll;
        intake.acceptsAll = true;
        assertEquals(202, other.status(other.send(RawClient.message(id), "x")));
        intake.acceptsAll = before;
        other.close();
    }

    @AfterEach
    void endAll() throws IOException {
        for (RawClient client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
