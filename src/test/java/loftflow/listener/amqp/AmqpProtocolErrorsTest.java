package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ShutdownSignalException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that break the protocol, stall or exceed limits. */
@Timeout(60)
class AmqpProtocolErrorsTest extends PublishingTestBase {
    @Test
    void clientOfAnotherProtocolGetsTheSupportedOne() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            byte[] answer = new DataInputStream(socket.getInputStream()).readNBytes(100);
            assertEquals("AMQP\0\0\t\1", new String(answer, java.nio.charset.StandardCharsets.ISO_8859_1));
        }
    }

    private long codeOf(byte... bytes) throws Exception {
        try (RawAmqpClient client = new RawAmqpClient(port).open().channel(1)) {
            client.write(bytes);
            return client.awaitCloseCode();
        }
    }

    @Test
    void protocolErrorEndsTheConnectionWithItsCode() throws Exception {
        assertEquals(AmqpException.FRAME_ERROR, codeOf(new byte[] {1, 0, 1, 0, 1, 0, 0}), "larger than negotiated");
        assertEquals(AmqpException.FRAME_ERROR, codeOf(new byte[] {9, 0, 1, 0, 0, 0, 0}), "unknown frame type");
        assertEquals(
                AmqpException.NOT_IMPLEMENTED, codeOf(new byte[] {1, 0, 1, 0, 0, 0, 4, 0, 90, 0, 10, (byte) 0xCE}));
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                codeOf(new byte[] {2, 0, 1, 0, 0, 0, 14, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, (byte) 0xCE}),
                "a header ahead of its method");
        assertEquals(
                AmqpException.SYNTAX_ERROR, codeOf(new byte[] {1, 0, 1, 0, 0, 0, 5, 0, 60, 0, 80, 9, (byte) 0xCE}));
        assertEquals(
                AmqpException.CHANNEL_ERROR,
                codeOf(new byte[] {1, 0, 5, 0, 0, 0, 5, 0, 85, 0, 10, 0, (byte) 0xCE}),
                "a channel that is not open");
        assertEquals(
                AmqpException.CHANNEL_ERROR,
                codeOf(new byte[] {1, (byte) 0xff, (byte) 0xff, 0, 0, 0, 5, 0, 20, 0, 10, 0, (byte) 0xCE}),
                "a channel beyond the negotiated ones");
        assertEquals(
                AmqpException.COMMAND_INVALID,
                codeOf(new byte[] {1, 0, 0, 0, 0, 0, 5, 0, 85, 0, 10, 0, (byte) 0xCE}),
                "a channel's method on the connection's own");
        publish("ok", 1);
        awaitAnswers("1 ack 1");
    }

    @Test
    void channelLimitIsEnforced() throws Exception {
        try (RawAmqpClient client = new RawAmqpClient(port).open()) {
            ByteBuf all = Unpooled.buffer();
            for (int i = 1; i <= 65_535; i++) {
                Frame.write(all, i, Method.of(MethodType.CHANNEL_OPEN));
            }
            Thread writing = new Thread(() -> {
                try {
                    client.write(ByteBufUtil.getBytes(all));
                } catch (IOException e) {
                    // The listener closes the connection during the write.
                }
            });
            writing.start();
            int opened = 0;
            Method method = client.next();
            for (; method != null && method.type() == MethodType.CHANNEL_OPEN_OK; method = client.next()) {
                opened++;
            }
            assertEquals(8, opened);
            assertEquals(AmqpException.CHANNEL_ERROR, method.number("reply-code"));
            client.disconnect();
            writing.join();
        }
        publish("ok", 1);
        awaitAnswers("1 ack 1");
    }

    @Test
    void thousandsOfIncompleteHandshakesKeepNobodyOut() throws Exception {
        ArrayDeque<Socket> open = new ArrayDeque<>();
        for (int i = 0; i < 10_000; i++) {
            Socket socket = new Socket("127.0.0.1", port);
            socket.setSoLinger(true, 0);
            socket.getOutputStream().write(new byte[] {'A', 'M', 'Q', 'P'});
            open.add(socket);
            if (open.size() > 100) {
                open.poll().close();
            }
        }
        publish("in", 1);
        awaitAnswers("1 ack 1");
        try (Connection another = factory("a", "b").newConnection()) {
            assertTrue(another.isOpen());
        }
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Test
    void incompleteHandshakeTimesOut() throws Exception {
        try (RawAmqpClient client = new RawAmqpClient(port).greet()) {
            assertEquals(null, client.next());
        }
    }

    @Test
    void clientWithoutHeartbeatsIsClosedAfterTwo() throws Exception {
        try (RawAmqpClient client = new RawAmqpClient(port).greet()) {
            client.send(0, Method.of(MethodType.CONNECTION_START_OK, Map.of(), "PLAIN", "\0a\0b", "en_US"));
            client.next();
            client.send(0, Method.of(MethodType.CONNECTION_TUNE_OK, 8, (long) MAX_FRAME_BYTES, 1));
            client.send(0, Method.of(MethodType.CONNECTION_OPEN, "/"));
            client.next();
            assertEquals(null, client.next(), "the connection is closed without a close method");
        }
    }

    @Test
    void shutdownClosesConnectionsWithACode() throws Exception {
        onLoop(listener::drain);
        onLoop(listener::stopListening);
        await(() -> !connection.isOpen());
        ShutdownSignalException reason = ((com.rabbitmq.client.impl.AMQConnection) connection).getCloseReason();
        assertTrue(reason.getMessage().contains("320"), reason.getMessage());
        assertFalse(receivedAnswers.contains("1 ack 1"));
    }

    @Test
    void partialBodyIsReleasedWithItsConnection() throws Exception {
        try (RawAmqpClient client = new RawAmqpClient(port).open().channel(1)) {
            client.send(1, Method.of(MethodType.CONFIRM_SELECT, false));
            client.next();
            ByteBuf bytes = Unpooled.buffer();
            Frame.write(
                    bytes,
                    1,
                    Method.of(MethodType.BASIC_PUBLISH, "", "7", false, false),
                    Properties.NONE.with(Property.MESSAGE_ID, "half").with(Property.TYPE, "unsafe"),
                    new byte[60_000],
                    MAX_FRAME_BYTES);
            client.write(ByteBufUtil.getBytes(bytes), 0, bytes.readableBytes() - 1);
        }
        for (int i = 0; i < 3; i++) {
            publish("m" + i, 60_000);
        }
        awaitAnswers("1 ack 1", "1 ack 2", "1 ack 3");
        assertEquals(List.of("m0", "m1", "m2"), messageAcceptor.messageIds());
    }
}
