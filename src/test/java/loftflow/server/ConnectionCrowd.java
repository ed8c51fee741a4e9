package loftflow.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.function.IntFunction;

/**
 * Many connections of badly behaved clients, on one thread. Each sends the same bytes as fast as the relay reads them,
 * and is opened again as soon as it ends.
 */
final class ConnectionCrowd implements AutoCloseable {
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4096;
    private static final int POLL_MILLIS = 50;
    /** Bounds the connections that are opened in one pass. */
    private static final int MAX_OPENED_PER_PASS = 64;

    /** What the members of a crowd do with the responses. */
    enum Responses {
        READ,
        IGNORE
    }

    private static final class Member {
        private final ByteBuffer unsent;

        Member(ByteBuffer unsent) {
            this.unsent = unsent;
        }
    }

    private final InetSocketAddress address;
    private final int size;
    private final Responses responses;
    private final IntFunction<byte[]> text;
    private final Selector selector = Selector.open();
    private final ByteBuffer received = ByteBuffer.allocate(64 << 10);
    private final Thread thread = new Thread(this::run, "crowd");
    private volatile boolean isClosed;
    private volatile int opened;
    private int open;

    /**
     * Starts a crowd.
     *
     * @param text returns what the connection with a given number sends
     */
    ConnectionCrowd(InetSocketAddress address, int size, Responses responses, IntFunction<byte[]> text)
            throws IOException {
        this.address = address;
        this.size = size;
        this.responses = responses;
        this.text = text;
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns how many connections have been opened. */
    int openedCount() {
        return opened;
    }

    private void run() {
        try (selector) {
            while (!isClosed) {
                for (int i = 0; i < MAX_OPENED_PER_PASS && open < size; i++) {
                    openOne();
                }
                selector.select(this::serve, POLL_MILLIS);
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void openOne() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        if (responses == Responses.IGNORE) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES);
        }
        // A reset leaves no sockets in TIME_WAIT, which other tests would read through in the kernel's table.
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.connect(address);
        ByteBuffer unsent = ByteBuffer.wrap(text.apply(opened++));
        channel.register(selector, SelectionKey.OP_CONNECT, new Member(unsent));
        open++;
    }

    private void serve(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        Member member = (Member) key.attachment();
        try {
            if (key.isConnectable() && !channel.finishConnect()) {
                return;
            }
            if (!key.isConnectable() && key.isReadable() && !readAll(channel)) {
                end(key);
                return;
            }
            channel.write(member.unsent);
            int reading = responses == Responses.READ ? SelectionKey.OP_READ : 0;
            int writing = member.unsent.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ;
            key.interestOps(reading | writing);
        } catch (IOException e) {
            end(key);
        }
    }

    /** Reads what has arrived; returns false at the end of the stream. */
    private boolean readAll(SocketChannel channel) throws IOException {
        received.clear();
        return channel.read(received) >= 0;
    }

    private void end(SelectionKey key) {
        open--;
        try {
            key.channel().close();
        } catch (IOException e) {
            // The channel is closed even if close() throws.
        }
    }

    @Override
    public void close() {
        isClosed = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
