package loftflow.listener.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.listener.FakeMessageAcceptor;
import loftflow.server.KernelSocketState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that sends requests on one connection and leaves its answers unread. */
@Timeout(60)
class UnreadAnswersTest {
    private static final String MESSAGE =
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: m\r\nX-Call-Class: safe\r\n"
                    + "X-Budget-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\nx";
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    private static final int BATCH = 8;
    /** More answers than wait in the relay before it leaves requests unread. */
    private static final int MOST_WAITING = 1000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final FakeMessageAcceptor intake = new FakeMessageAcceptor();
    private HttpListener server;
    private SocketChannel client;

    @BeforeEach
    void connect() throws Exception {
        Clock clock = Clock.system();
        server = new HttpListener(intake, clock, new EventLoopLag((micros, task) -> () -> {}, clock), 8);
        InetSocketAddress address = (InetSocketAddress) server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
        client = SocketChannel.open();
        client.setOption(StandardSocketOptions.SO_RCVBUF, 4096);
        client.connect(address);
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T on(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isFlushed() {
        return on(() -> server.house().all().stream().allMatch(HttpClientConnection::isFlushed));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private int sendBatch() throws IOException {
        for (ByteBuffer batch = bytes(MESSAGE.repeat(BATCH)); batch.hasRemaining(); ) {
            client.write(batch);
        }
        return BATCH;
    }

    /** Hands in messages until answers wait in the relay, and returns how many; all of them have been read. */
    private int sendUntilAnswersWait() throws Exception {
        int sent = 0;
        while (isFlushed()) {
            sent += sendBatch();
            while (intake.handed.size() < sent) {
                Thread.onSpinWait();
            }
        }
        return sent;
    }

    /** Reads answers until the end of the connection, or as many bytes as are awaited. */
    private long read(long awaited) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        long read = 0;
        while (read < awaited) {
            buffer.clear();
            buffer.limit((int) Math.min(buffer.capacity(), awaited - read));
            int came = client.read(buffer);
            if (came < 0) {
                return read;
            }
            read += came;
        }
        return read;
    }

    /** What it sends on is not read until it reads: the answers would fill the memory. Nothing is lost by that. */
    @Test
    void clientThatReadsNoAnswerIsNotReadFrom() throws Exception {
        int before = sendUntilAnswersWait();
        int sent = before + on(this::sendUntilNoneIsRead);
        int read = intake.handed.size();
        assertTrue(
                read < sent && read < before + MOST_WAITING,
                read + " of " + sent + " were read, " + before + " of them before");
        // The loop looks at its sockets at least once: what lies there stays.
        loop.submit(() -> {}).sync();
        loop.submit(() -> {}).sync();
        assertEquals(read, intake.handed.size());
        assertEquals((long) sent * TAKEN.length(), read((long) sent * TAKEN.length()));
        assertEquals(sent, intake.handed.size());
    }

    /** Holds the loop and has it read by hand what comes, until it leaves some of it. */
    private int sendUntilNoneIsRead() throws IOException {
        KernelSocketState relay = KernelSocketState.beyond(client.socket());
        int sent = 0;
        int read = -1;
        while (read < intake.handed.size() || !relay.holdsUnread()) {
            read = intake.handed.size();
            sent += sendBatch();
            relay.awaitUnread();
            server.takeIn();
        }
        return sent;
    }

    /** At the drain its connection stands until the answers have gone out, and the relay is not done before. */
    @Test
    void answersThatWaitAtTheDrainGoOut() throws Exception {
        int sent = sendUntilAnswersWait();
        loop.submit(server::drain).sync();
        assertFalse(on(server::isIdle));
        assertEquals((long) sent * TAKEN.length(), read((long) sent * TAKEN.length()));
        await(() -> on(server::isIdle));
    }

    /** It never reads its last answer: its descriptor is free again after ten seconds. */
    @Test
    void clientThatNeverReadsItsLastAnswerIsLetGo() throws Exception {
        sendUntilAnswersWait();
        client.write(bytes(MESSAGE.replace("Host", "Connection: close\r\nHost")));
        await(() -> on(() -> server.house().size()) == 0);
    }
}
