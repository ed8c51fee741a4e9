package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import com.rabbitmq.client.ShutdownSignalException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.engine.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The listener, met by RabbitMQ's own client and by sockets that say what no client would. */
@Timeout(60)
class AmqpListenerTest extends AmqpListenerTestBase {
    private static final int FRAME = 8 << 10;
    private AmqpListener server;
    private int port;
    private Connection connection;
    private Channel channel;
    private final ConcurrentLinkedQueue<String> told = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void prepare() throws Exception {
        on(pulse::start);
        server = server(null, 600 * SECOND);
        port = ((InetSocketAddress) server.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        connection = factory("any", "any").newConnection();
        channel = confirming();
    }

    private AmqpListener server(String user, long hold) {
        return new AmqpListener(
                intake,
                clock,
                pulse,
                mapping(),
                seen,
                new AmqpListener.Options(
                        "front",
                        "loftflow",
                        user,
                        "secret",
                        20,
                        new AmqpServerConnection.Offer("loftflow", 8, FRAME, 2),
                        hold),
                m -> heard.add(m.content().messageId()),
                m -> otherwise.add(m.content().messageId()));
    }

    private ConnectionFactory factory(String user, String password) {
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(port);
        factory.setUsername(user);
        factory.setPassword(password);
        factory.setAutomaticRecoveryEnabled(false);
        return factory;
    }

    private Channel confirming() throws IOException {
        Channel made = connection.createChannel();
        made.confirmSelect();
        int number = made.getChannelNumber();
        made.addConfirmListener(
                (tag, multiple) -> told.add(number + " ack " + tag),
                (tag, multiple) -> told.add(number + " nack " + tag));
        made.addReturnListener((code, text, exchange, key, properties, body) -> told.add(number + " return " + code));
        return made;
    }

    @AfterEach
    void end() {
        connection.abort(500);
        on(server::stopListening);
    }

    private static AMQP.BasicProperties properties(String id) {
        return new AMQP.BasicProperties.Builder().messageId(id).type("unsafe").build();
    }

    private void publish(String id, int body) throws IOException {
        channel.basicPublish("loftflow", "7", true, properties(id), new byte[body]);
    }

    private void awaitTold(String... lines) {
        await(() -> List.copyOf(told).equals(List.of(lines)));
    }

    @Test
    void confirmIsWhatTheIntakeSays() throws Exception {
        intake.acceptsAll = false;
        publish("a", 1);
        publish("b", 1);
        publish("c", 1);
        await(() -> intake.submissions.size() == 3);
        assertTrue(server.isAnswering());
        on(() -> intake.submissions.get(1).client().rejected(SECOND));
        on(() -> intake.submissions.get(0).client().accepted());
        on(() -> intake.submissions.get(2).client().failed());
        awaitTold("1 nack 2", "1 ack 1", "1 nack 3");
        assertTrue(seen.contains("a") && !seen.contains("b") && !seen.contains("c"));
        assertTrue(server.isIdle());
    }

    @Test
    void bodiesUpToTheBoundAreTakenAndLargerOnesRefused() throws Exception {
        publish("empty", 0);
        publish("frames", 20_000);
        publish("most", 64 << 10);
        publish("more", (64 << 10) + 1);
        publish("after", 1);
        awaitTold("1 ack 1", "1 ack 2", "1 ack 3", "1 nack 4", "1 ack 5");
        assertEquals(
                List.of(0, 20_000, 64 << 10, 1),
                intake.submissions.stream()
                        .map(h -> h.message().content().body().length)
                        .toList());
    }

    @Test
    void whatCanNotBeTakenIsReturnedWithItsReasonAndRefused() throws Exception {
        channel.basicPublish("loftflow", "99", true, properties("a"), new byte[1]);
        channel.basicPublish(
                "", "7", true, properties("b").builder().type("unknown").build(), new byte[1]);
        channel.basicPublish("", "7", true, properties(null), new byte[1]);
        channel.basicPublish(
                "",
                "7",
                true,
                properties("d").builder().headers(Map.of("tenant", "x")).build(),
                new byte[1]);
        channel.basicPublish("", "99", false, properties("e"), new byte[1]);
        awaitTold(
                "1 return 312",
                "1 nack 1",
                "1 return 406",
                "1 nack 2",
                "1 return 406",
                "1 nack 3",
                "1 return 406",
                "1 nack 4",
                "1 nack 5");
        assertEquals(List.of(), intake.messageIds());
    }

    @Test
    void publishThatComesAgainAfterALostConfirmIsNoSecondMessage() throws Exception {
        publish("a", 1);
        awaitTold("1 ack 1");
        publish("a", 1);
        awaitTold("1 ack 1", "1 ack 2");
        assertEquals(List.of("a"), intake.messageIds());
        room = false;
        publish("b", 1);
        awaitTold("1 ack 1", "1 ack 2", "1 nack 3");
        assertEquals(List.of("a"), intake.messageIds());
    }

    @Test
    void tagsOfTwoChannelsAreApart() throws Exception {
        intake.acceptsAll = false;
        Channel second = confirming();
        publish("a", 1);
        second.basicPublish("loftflow", "7", properties("b"), new byte[1]);
        await(() -> intake.submissions.size() == 2);
        Message.ClientReply ofB = intake.submissions.stream()
                .filter(h -> h.message().content().messageId().equals("b"))
                .findFirst()
                .orElseThrow()
                .client();
        on(() -> ofB.rejected(0));
        awaitTold("2 nack 1");
        on(() -> intake.submissions.stream()
                .filter(h -> h.message().content().messageId().equals("a"))
                .forEach(h -> h.client().accepted()));
        awaitTold("2 nack 1", "1 ack 1");
    }

    @Test
    void answerForAChannelThatIsGoneIsNotToldOnALaterOneOfItsNumber() throws Exception {
        intake.acceptsAll = false;
        publish("a", 1);
        await(() -> intake.submissions.size() == 1);
        channel.close();
        await(() -> intake.withdrawn.contains("a"));
        channel = confirming();
        assertEquals(1, channel.getChannelNumber());
        publish("b", 1);
        await(() -> intake.submissions.size() == 2);
        on(() -> intake.submissions.get(0).client().accepted());
        on(() -> intake.submissions.get(1).client().rejected(0));
        awaitTold("1 nack 1");
    }

    @Test
    void clientThatLeavesBeforeItsAnswerIsOwedNothing() throws Exception {
        intake.acceptsAll = false;
        publish("a", 1);
        await(() -> intake.submissions.size() == 1);
        connection.abort();
        await(() -> intake.withdrawn.contains("a"));
    }

    @Test
    void nothingIsTakenOnAChannelWithoutConfirmsOrForAnExchangeThatThereIsNot() throws Exception {
        Channel plain = connection.createChannel();
        plain.basicPublish("loftflow", "7", properties("a"), new byte[1]);
        await(() -> !plain.isOpen());
        assertTrue(plain.getCloseReason().getMessage().contains("confirm mode"));
        channel.basicPublish("other", "7", properties("a"), new byte[1]);
        await(() -> !channel.isOpen());
        assertTrue(channel.getCloseReason().getMessage().contains("404")
                || channel.getCloseReason().getMessage().contains("no exchange"));
        assertEquals(List.of(), intake.messageIds());
    }

    @Test
    void publisherThatDoesNotWaitIsReadNoFartherThanTheBound() throws Exception {
        intake.acceptsAll = false;
        for (int i = 0; i < 400; i++) {
            publish("m" + i, 4_000);
        }
        await(() -> intake.submissions.size() >= 256);
        // Longer than two heartbeats, of which the client's lie unread.
        Thread.sleep(5_000);
        assertTrue(intake.submissions.size() < 400, "not all of it is read: " + intake.submissions.size());
        assertTrue(connection.isOpen());
        on(() -> {
            intake.acceptsAll = true;
            List.copyOf(intake.submissions).forEach(h -> h.client().accepted());
        });
        await(() -> told.size() == 400);
    }

    @Test
    void onlyTheUserThatIsSetComesIn() throws Exception {
        AmqpListener guarded = server("desk", SECOND);
        port = ((InetSocketAddress) guarded.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        assertThrows(IOException.class, () -> factory("desk", "guess").newConnection());
        assertThrows(IOException.class, () -> factory("other", "secret").newConnection());
        factory("desk", "secret").newConnection().close();
        on(guarded::stopListening);
    }

    // ---- ends

    private LinkedBlockingQueue<String> consume(Channel on, boolean acks, int prefetch) throws IOException {
        LinkedBlockingQueue<String> come = new LinkedBlockingQueue<>();
        on.queueDeclare("ends", true, false, false, null);
        on.basicQos(prefetch);
        on.basicConsume("ends", false, new DefaultConsumer(on) {
            @Override
            public void handleDelivery(String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
                    throws IOException {
                come.add(properties.getMessageId() + " " + properties.getType() + " " + envelope.isRedeliver());
                if (acks) {
                    on.basicAck(envelope.getDeliveryTag(), false);
                }
            }
        });
        return come;
    }

    @Test
    void endWaitsForItsProgramAndIsHeardOnceAcknowledged() throws Exception {
        on(() -> server.tell(ended("a", "ends", Message.Completion.Kind.DELIVERED)));
        LinkedBlockingQueue<String> come = consume(connection.createChannel(), true, 5);
        assertEquals("a.end done false", come.poll(5, TimeUnit.SECONDS));
        await(() -> heard.equals(List.of("a")));
        on(() -> server.tell(ended("b", "ends", Message.Completion.Kind.REJECTED)));
        assertEquals("b.end bounced false", come.poll(5, TimeUnit.SECONDS));
    }

    @Test
    void endThatIsNotAcknowledgedComesAgainWithItsFlagAndPrefetchHolds() throws Exception {
        for (String id : List.of("a", "b", "c")) {
            on(() -> server.tell(ended(id, "ends", Message.Completion.Kind.FAILED)));
        }
        Channel first = connection.createChannel();
        LinkedBlockingQueue<String> come = consume(first, false, 2);
        assertEquals("a.end dead false", come.poll(5, TimeUnit.SECONDS));
        assertEquals("b.end dead false", come.poll(5, TimeUnit.SECONDS));
        assertEquals(null, come.poll(200, TimeUnit.MILLISECONDS));
        first.close();
        come = consume(connection.createChannel(), true, 5);
        assertEquals("a.end dead true", come.poll(5, TimeUnit.SECONDS));
        assertEquals("b.end dead true", come.poll(5, TimeUnit.SECONDS));
        assertEquals("c.end dead false", come.poll(5, TimeUnit.SECONDS));
        await(() -> heard.size() == 3);
    }

    @Test
    void tagOfAnotherChannelAcknowledgesNothing() throws Exception {
        on(() -> server.tell(ended("a", "ends", Message.Completion.Kind.FAILED)));
        LinkedBlockingQueue<String> come = consume(connection.createChannel(), false, 2);
        assertNotNull(come.poll(5, TimeUnit.SECONDS));
        Channel other = connection.createChannel();
        other.basicAck(1, false);
        await(() -> !other.isOpen());
        assertTrue(other.getCloseReason().getMessage().contains("unknown delivery tag"));
        assertEquals(List.of(), heard);
    }

    @Test
    void endThatNobodyTakesGoesWhereOthersGo() throws Exception {
        AmqpListener hasty = server(null, SECOND / 10);
        hasty.listen(loop, new InetSocketAddress("127.0.0.1", 0)).sync();
        on(() -> hasty.tell(ended("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> otherwise.equals(List.of("a")));
        on(hasty::stopListening);
    }

    // ---- what no client would say

    /** A client by hand. */
    private final class Raw implements AutoCloseable {
        private final Socket socket;
        private final OutputStream out;
        private final ByteBuf in = Unpooled.buffer();
        private final ArrayDeque<Method> come = new ArrayDeque<>();

        Raw() throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout(10_000);
            out = socket.getOutputStream();
        }

        Raw greet() throws Exception {
            out.write(new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1});
            assertEquals(MethodType.CONNECTION_START, next().op());
            return this;
        }

        Raw open() throws Exception {
            greet();
            say(0, Method.of(MethodType.CONNECTION_START_OK, Map.of(), "PLAIN", "\0a\0b", "en_US"));
            assertEquals(MethodType.CONNECTION_TUNE, next().op());
            say(0, Method.of(MethodType.CONNECTION_TUNE_OK, 8, (long) FRAME, 0));
            say(0, Method.of(MethodType.CONNECTION_OPEN, "/"));
            assertEquals(MethodType.CONNECTION_OPEN_OK, next().op());
            return this;
        }

        Raw channel(int number) throws Exception {
            say(number, Method.of(MethodType.CHANNEL_OPEN));
            assertEquals(MethodType.CHANNEL_OPEN_OK, next().op());
            return this;
        }

        void say(int number, Method method) throws IOException {
            ByteBuf bytes = Unpooled.buffer();
            Frame.write(bytes, number, method);
            out.write(ByteBufUtil.getBytes(bytes));
        }

        /** The next method, or null at the end. */
        Method next() throws Exception {
            byte[] buffer = new byte[4096];
            while (come.isEmpty()) {
                int read = socket.getInputStream().read(buffer);
                if (read < 0) {
                    return null;
                }
                in.writeBytes(buffer, 0, read);
                for (Frame frame = Frame.next(in, 1 << 20); frame != null; frame = Frame.next(in, 1 << 20)) {
                    if (frame.type() == Frame.Type.METHOD) {
                        come.add(Method.read(frame.payload()));
                    }
                }
            }
            return come.poll();
        }

        /** The code that ends the connection. */
        long end() throws Exception {
            Method method = next();
            while (method != null && method.op() != MethodType.CONNECTION_CLOSE) {
                method = next();
            }
            return method == null ? 0 : method.number("reply-code");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Test
    void clientOfAnotherProtocolHearsWhichOneIsSpoken() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            byte[] answer = new DataInputStream(socket.getInputStream()).readNBytes(100);
            assertEquals("AMQP\0\0\t\1", new String(answer, java.nio.charset.StandardCharsets.ISO_8859_1));
        }
    }

    private long codeOf(byte... bytes) throws Exception {
        try (Raw raw = new Raw().open().channel(1)) {
            raw.out.write(bytes);
            return raw.end();
        }
    }

    @Test
    void whatBreaksTheProtocolEndsTheConnectionWithItsCode() throws Exception {
        assertEquals(AmqpException.FRAME_ERROR, codeOf(new byte[] {1, 0, 1, 0, 1, 0, 0}), "larger than agreed on");
        assertEquals(AmqpException.FRAME_ERROR, codeOf(new byte[] {9, 0, 1, 0, 0, 0, 0}), "no such frame");
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
                "a channel beyond those that were agreed on");
        assertEquals(
                AmqpException.COMMAND_INVALID,
                codeOf(new byte[] {1, 0, 0, 0, 0, 0, 5, 0, 85, 0, 10, 0, (byte) 0xCE}),
                "a channel's method on the connection's own");
        publish("ok", 1);
        awaitTold("1 ack 1");
    }

    @Test
    void clientThatOpensEveryChannelThereIsOpensNoMoreThanAgreedOn() throws Exception {
        try (Raw raw = new Raw().open()) {
            ByteBuf all = Unpooled.buffer();
            for (int i = 1; i <= 65_535; i++) {
                Frame.write(all, i, Method.of(MethodType.CHANNEL_OPEN));
            }
            Thread writing = new Thread(() -> {
                try {
                    raw.out.write(ByteBufUtil.getBytes(all));
                } catch (IOException e) {
                    // The listener ends the connection while this still writes.
                }
            });
            writing.start();
            int opened = 0;
            Method method = raw.next();
            for (; method != null && method.op() == MethodType.CHANNEL_OPEN_OK; method = raw.next()) {
                opened++;
            }
            assertEquals(8, opened);
            assertEquals(AmqpException.CHANNEL_ERROR, method.number("reply-code"));
            raw.socket.close();
            writing.join();
        }
        publish("ok", 1);
        awaitTold("1 ack 1");
    }

    @Test
    void thousandsThatSendHalfAGreetingKeepNobodyOut() throws Exception {
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
        awaitTold("1 ack 1");
        try (Connection another = factory("a", "b").newConnection()) {
            assertTrue(another.isOpen());
        }
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Test
    void clientThatOpensNothingInTimeIsGivenUp() throws Exception {
        try (Raw raw = new Raw().greet()) {
            assertEquals(null, raw.next());
        }
    }

    @Test
    void silentClientIsGivenUpAfterTwoHeartbeats() throws Exception {
        try (Raw raw = new Raw().greet()) {
            raw.say(0, Method.of(MethodType.CONNECTION_START_OK, Map.of(), "PLAIN", "\0a\0b", "en_US"));
            raw.next();
            raw.say(0, Method.of(MethodType.CONNECTION_TUNE_OK, 8, (long) FRAME, 1));
            raw.say(0, Method.of(MethodType.CONNECTION_OPEN, "/"));
            raw.next();
            assertEquals(null, raw.next(), "its end comes with no word, as there is nobody to hear it");
        }
    }

    @Test
    void relayThatEndsTellsItsProgramsSo() throws Exception {
        on(server::drain);
        on(server::stopListening);
        await(() -> !connection.isOpen());
        ShutdownSignalException reason = ((com.rabbitmq.client.impl.AMQConnection) connection).getCloseReason();
        assertTrue(reason.getMessage().contains("320"), reason.getMessage());
        assertFalse(told.contains("1 ack 1"));
    }

    @Test
    void contentThatWaitsForItsBodyHoldsNothingOnceItsClientIsGone() throws Exception {
        try (Raw raw = new Raw().open().channel(1)) {
            raw.say(1, Method.of(MethodType.CONFIRM_SELECT, false));
            raw.next();
            ByteBuf bytes = Unpooled.buffer();
            Frame.write(
                    bytes,
                    1,
                    Method.of(MethodType.BASIC_PUBLISH, "", "7", false, false),
                    Properties.NONE.with(Property.MESSAGE_ID, "half").with(Property.TYPE, "unsafe"),
                    new byte[60_000],
                    FRAME);
            raw.out.write(ByteBufUtil.getBytes(bytes), 0, bytes.readableBytes() - 1);
        }
        for (int i = 0; i < 3; i++) {
            publish("m" + i, 60_000);
        }
        awaitTold("1 ack 1", "1 ack 2", "1 ack 3");
        assertEquals(List.of("m0", "m1", "m2"), intake.messageIds());
    }
}
