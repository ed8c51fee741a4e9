package loftflow.listener.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import loftflow.server.KernelSocketState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that sends requests on one connection and does not read the responses. */
@Timeout(60)
class UnreadResponsesTest extends HttpListenerTestBase {
    private static final String ACCEPTED_RESPONSE = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    private static final int BATCH = 8;
    /** More responses than the relay buffers before it stops reading requests. */
    private static final int MAX_BUFFERED_RESPONSES = 1000;

    private SocketChannel client;

    @BeforeEach
    void start() throws Exception {
        listen();
        client = SocketChannel.open();
        client.setOption(StandardSocketOptions.SO_RCVBUF, 4096);
        client.connect(address);
    }

    @AfterEach
    void disconnect() throws IOException {
        client.close();
    }

    private <T> T on(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isFlushed() {
        return on(() -> listener.connections().all().stream().allMatch(HttpClientConnection::isFlushed));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private int sendBatch() throws IOException {
        for (ByteBuffer batch = bytes(REQUEST.repeat(BATCH)); batch.hasRemaining(); ) {
            client.write(batch);
        }
        return BATCH;
    }

    /** Sends messages until responses are buffered in the relay, and returns their number; all have been read. */
    private int sendUntilResponsesAreBuffered() throws Exception {
        int sent = 0;
        while (isFlushed()) {
            sent += sendBatch();
            while (messageAcceptor.submissions.size() < sent) {
                Thread.onSpinWait();
            }
        }
        return sent;
    }

    /** Reads responses until the end of the connection, or the given number of bytes. */
    private long read(long awaited) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        long read = 0;
        while (read < awaited) {
            buffer.clear();
            buffer.limit((int) Math.min(buffer.capacity(), awaited - read));
            int received = client.read(buffer);
            if (received < 0) {
                return read;
            }
            read += received;
        }
        return read;
    }

    /** Reading pauses until the client reads, which bounds the memory for responses. Nothing is lost by that. */
    @Test
    void readingPausesForAClientThatReadsNoResponse() throws Exception {
        int before = sendUntilResponsesAreBuffered();
        int sent = before + on(this::sendUntilReadingPauses);
        int read = messageAcceptor.submissions.size();
        assertTrue(
                read < sent && read < before + MAX_BUFFERED_RESPONSES,
                read + " of " + sent + " were read, " + before + " of them before");
        // The loop polls its sockets at least once, and the pending bytes stay there.
        loop.submit(() -> {}).sync();
        loop.submit(() -> {}).sync();
        assertEquals(read, messageAcceptor.submissions.size());
        assertEquals((long) sent * ACCEPTED_RESPONSE.length(), read((long) sent * ACCEPTED_RESPONSE.length()));
        assertEquals(sent, messageAcceptor.submissions.size());
    }

    /** Blocks the loop and reads pending bytes by hand, until some of them are left in the socket. */
    private int sendUntilReadingPauses() throws IOException {
        KernelSocketState relay = KernelSocketState.ofPeer(client.socket());
        int sent = 0;
        int read = -1;
        while (read < messageAcceptor.submissions.size() || !relay.hasUnread()) {
            read = messageAcceptor.submissions.size();
            sent += sendBatch();
            relay.awaitUnread();
            listener.readPending();
        }
        return sent;
    }

    /**
     * While the relay drains, a connection stays open until its responses are sent, and the relay is not idle before.
     */
    @Test
    void bufferedResponsesAreSentDuringTheDrain() throws Exception {
        int sent = sendUntilResponsesAreBuffered();
        loop.submit(listener::drain).sync();
        assertFalse(on(listener::isIdle));
        assertEquals((long) sent * ACCEPTED_RESPONSE.length(), read((long) sent * ACCEPTED_RESPONSE.length()));
        await(() -> on(listener::isIdle));
    }

    /** A client that never reads its last response is closed after ten seconds. */
    @Test
    void clientThatNeverReadsItsLastResponseIsClosed() throws Exception {
        sendUntilResponsesAreBuffered();
        client.write(bytes(REQUEST.replace("Host", "Connection: close\r\nHost")));
        await(() -> on(() -> listener.connections().size()) == 0);
    }
}
