package loftflow.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loftflow.protocol.ClientProtocol;

/** Connections other than the clients': idle, stopped within a request, or with unread responses. */
final class SoakCrowd implements AutoCloseable {
    /** Exceeds the file descriptors of the relay. */
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

    /** Opens connections; those that the relay refuses are left out. */
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
                // The relay has closed the connection, or accepts no more of them.
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
                // The connection is closed even if close() throws.
            }
        }
        connections.clear();
    }
}
