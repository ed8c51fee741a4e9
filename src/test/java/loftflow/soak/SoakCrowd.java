package loftflow.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loftflow.protocol.ClientProtocol;

/** Connections beside those of clients, which rest, stop within a request, or do not read their answers. */
final class SoakCrowd implements AutoCloseable {
    /** More than the relay may hold. */
    private static final int IDLE_CONNECTIONS = 300;

    private static final int OTHER_CONNECTIONS = 24;
    private static final int UNREAD_REQUESTS = 2_000;
    private static final byte[] REQUEST = ("GET " + ClientProtocol.READINESS_PATH + " HTTP/1.1\r\nHost: relay\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);

    private final SoakPlan.Crowd kind;
    private final List<SocketChannel> connections = new ArrayList<>();

    SoakCrowd(SoakPlan.Crowd kind) {
        this.kind = kind;
    }

    /** Opens connections, as far as the relay accepts them. */
    void open(int port) {
        int count =
                switch (kind) {
                    case NONE -> 0;
                    case IDLE -> IDLE_CONNECTIONS;
                    case PARTIAL, UNREAD -> OTHER_CONNECTIONS;
                };
        for (int i = 0; i < count; i++) {
            try {
                SocketChannel connection = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
                connections.add(connection);
                connection.configureBlocking(false);
                begin(connection);
            } catch (IOException e) {
                // The relay has closed it, or accepts no more.
            }
        }
    }

    private void begin(SocketChannel connection) throws IOException {
        switch (kind) {
            case NONE, IDLE -> {}
            case PARTIAL -> connection.write(ByteBuffer.wrap(REQUEST, 0, REQUEST.length / 2));
            case UNREAD -> {
                for (int i = 0; i < UNREAD_REQUESTS && connection.write(ByteBuffer.wrap(REQUEST)) == REQUEST.length; ) {
                    i++;
                }
            }
        }
    }

    @Override
    public void close() {
        for (SocketChannel connection : connections) {
            try {
                connection.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
        connections.clear();
    }
}
