package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import loftflow.amqp.link.AmqpServerConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A listener with a connection and a confirm channel of RabbitMQ's own client. */
abstract class PublishingTestBase extends AmqpListenerTestBase {
    static final int MAX_FRAME_BYTES = 8 << 10;
    AmqpListener listener;
    int port;
    Connection connection;
    Channel channel;
    final ConcurrentLinkedQueue<String> receivedAnswers = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void prepare() throws Exception {
        onLoop(eventLoopLag::start);
        listener = listener(null, 600 * SECOND_MICROS);
        port = ((InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        connection = factory("any", "any").newConnection();
        channel = createConfirmChannel();
    }

    AmqpListener listener(String user, long replyHoldMicros) {
        return new AmqpListener(
                messageAcceptor,
                clock,
                eventLoopLag,
                mapping(),
                deduplicator,
                new AmqpListener.Options(
                        "front",
                        "loftflow",
                        user,
                        "secret",
                        20,
                        new AmqpServerConnection.Limits("loftflow", 8, MAX_FRAME_BYTES, 2),
                        replyHoldMicros),
                message -> acknowledgedIds.add(message.content().messageId()),
                message -> fallbackIds.add(message.content().messageId()));
    }

    ConnectionFactory factory(String user, String password) {
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(port);
        factory.setUsername(user);
        factory.setPassword(password);
        factory.setAutomaticRecoveryEnabled(false);
        return factory;
    }

    Channel createConfirmChannel() throws IOException {
        Channel created = connection.createChannel();
        created.confirmSelect();
        int number = created.getChannelNumber();
        created.addConfirmListener(
                (tag, multiple) -> receivedAnswers.add(number + " ack " + tag),
                (tag, multiple) -> receivedAnswers.add(number + " nack " + tag));
        created.addReturnListener(
                (code, text, exchange, key, properties, body) -> receivedAnswers.add(number + " return " + code));
        return created;
    }

    @AfterEach
    void end() {
        connection.abort(500);
        onLoop(listener::stopListening);
    }

    static AMQP.BasicProperties properties(String id) {
        return new AMQP.BasicProperties.Builder().messageId(id).type("unsafe").build();
    }

    void publish(String id, int body) throws IOException {
        channel.basicPublish("loftflow", "7", true, properties(id), new byte[body]);
    }

    void awaitAnswers(String... lines) {
        await(() -> List.copyOf(receivedAnswers).equals(List.of(lines)));
    }
}
