package loftflow.listener.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Map;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;

/** A client that sends any bytes, also those that break the protocol. */
final class RawAmqpClient implements AutoCloseable {
    private final Socket socket;
    private final OutputStream out;
    private final ByteBuf in = Unpooled.buffer();
    private final ArrayDeque<Method> received = new ArrayDeque<>();

    RawAmqpClient(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        out = socket.getOutputStream();
    }

    /** Sends the protocol header. */
    RawAmqpClient greet() throws Exception {
        out.write(new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1});
        assertEquals(MethodType.CONNECTION_START, next().type());
        return this;
    }

    /** Completes the handshake. */
    RawAmqpClient open() throws Exception {
        greet();
        send(0, Method.of(MethodType.CONNECTION_START_OK, Map.of(), "PLAIN", "\0a\0b", "en_US"));
        assertEquals(MethodType.CONNECTION_TUNE, next().type());
        send(0, Method.of(MethodType.CONNECTION_TUNE_OK, 8, (long) PublishingTestBase.MAX_FRAME_BYTES, 0));
        send(0, Method.of(MethodType.CONNECTION_OPEN, "/"));
        assertEquals(MethodType.CONNECTION_OPEN_OK, next().type());
        return this;
    }

    /** Opens a channel. */
    RawAmqpClient channel(int number) throws Exception {
        send(number, Method.of(MethodType.CHANNEL_OPEN));
        assertEquals(MethodType.CHANNEL_OPEN_OK, next().type());
        return this;
    }

    void write(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    void write(byte[] bytes, int offset, int length) throws IOException {
        out.write(bytes, offset, length);
    }

    void send(int number, Method method) throws IOException {
        ByteBuf bytes = Unpooled.buffer();
        Frame.write(bytes, number, method);
        out.write(ByteBufUtil.getBytes(bytes));
    }

    /** Reads the next method; null where the peer has closed. */
    Method next() throws Exception {
        byte[] buffer = new byte[4096];
        while (received.isEmpty()) {
            int read = socket.getInputStream().read(buffer);
            if (read < 0) {
                return null;
            }
            in.writeBytes(buffer, 0, read);
            for (Frame frame = Frame.next(in, 1 << 20); frame != null; frame = Frame.next(in, 1 << 20)) {
                if (frame.type() == Frame.Type.METHOD) {
                    received.add(Method.read(frame.payload()));
                }
            }
        }
        return received.poll();
    }

    /** Reads until the peer closes, and returns the code of its close; 0 for none. */
    long awaitCloseCode() throws Exception {
        Method method = next();
        while (method != null && method.type() != MethodType.CONNECTION_CLOSE) {
            method = next();
        }
        return method == null ? 0 : method.number("reply-code");
    }

    /** Closes the socket before the end of the client's scope. */
    void disconnect() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
