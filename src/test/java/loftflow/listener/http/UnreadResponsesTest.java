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

/** Tests clients that send requests on one connection without reading the responses. */
@Timeout(60)
class UnreadResponsesTest extends HttpListenerTestBase {
    private static final String ACCEPTED_RESPONSE = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    private static final int BATCH_SIZE = 8;
    /** An upper bound on the responses that the relay buffers before it pauses reading. */
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

    private <T> T onLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isFlushed() {
        return onLoop(() -> listener.connections().all().stream().allMatch(HttpClientConnection::isFlushed));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private int sendBatch() throws IOException {
        for (ByteBuffer batch = bytes(REQUEST.repeat(BATCH_SIZE)); batch.hasRemaining(); ) {
            client.write(batch);
        }
        return BATCH_SIZE;
    }

    /**
     * Sends messages until the relay buffers responses. The relay has read all of them on return.
     *
     * @return the number of messages
     */
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

    /** Reads responses until a number of bytes is received or the connection closes; returns the bytes received. */
    private long read(long maxBytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        long read = 0;
        while (read < maxBytes) {
            buffer.clear();
            buffer.limit((int) Math.min(buffer.capacity(), maxBytes - read));
            int received = client.read(buffer);
            if (received < 0) {
                return read;
            }
            read += received;
        }
        return read;
    }

    /** The relay pauses reading until the client reads, which bounds the memory for responses; no request is lost. */
    @Test
    void readingPausesWhileTheClientReadsNoResponses() throws Exception {
        int before = sendUntilResponsesAreBuffered();
        int sent = before + onLoop(this::sendUntilReadingPauses);
        int read = messageAcceptor.submissions.size();
        assertTrue(
                read < sent && read < before + MAX_BUFFERED_RESPONSES,
                read + " of " + sent + " requests were read, " + before + " of them before any response was buffered");
        // The loop polls its sockets at least once and leaves the pending bytes unread.
        loop.submit(() -> {}).sync();
        loop.submit(() -> {}).sync();
        assertEquals(read, messageAcceptor.submissions.size());
        assertEquals((long) sent * ACCEPTED_RESPONSE.length(), read((long) sent * ACCEPTED_RESPONSE.length()));
        assertEquals(sent, messageAcceptor.submissions.size());
    }

    /** Sends and reads batches on the blocked event loop until the relay leaves bytes in the socket. */
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
     * During a drain, a connection stays open, and the listener counts as busy, until the buffered responses are sent.
     */
    @Test
    void bufferedResponsesAreSentDuringTheDrain() throws Exception {
        int sent = sendUntilResponsesAreBuffered();
        loop.submit(listener::drain).sync();
        assertFalse(onLoop(listener::isIdle));
        assertEquals((long) sent * ACCEPTED_RESPONSE.length(), read((long) sent * ACCEPTED_RESPONSE.length()));
        await(() -> onLoop(listener::isIdle));
    }

    /** The connection of a client that never reads its last response is closed after ten seconds. */
    @Test
    void connectionWhoseLastResponseIsNeverReadIsClosed() throws Exception {
        sendUntilResponsesAreBuffered();
        client.write(bytes(REQUEST.replace("Host", "Connection: close\r\nHost")));
        await(() -> onLoop(() -> listener.connections().size()) == 0);
    }
}
