package loftflow.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.AlreadyClosedException;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import com.rabbitmq.client.GetResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loftflow.fake.FakeBroker.PublishOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the fake broker with the RabbitMQ client. */
@Timeout(60)
class FakeBrokerTest {
    private FakeBroker broker;
    private Connection connection;
    private Channel channel;

    @BeforeEach
    void connect() throws Exception {
        broker = new FakeBroker();
        connection = factory().newConnection();
        channel = connection.createChannel();
    }

    private ConnectionFactory factory() {
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(broker.port());
        factory.setAutomaticRecoveryEnabled(false);
        return factory;
    }

    @AfterEach
    void end() {
        connection.abort(1_000);
        broker.close();
    }

    private static AMQP.BasicProperties id(String id) {
        return new AMQP.BasicProperties.Builder()
                .messageId(id)
                .headers(Map.of("Idempotency-Key", "k-" + id))
                .build();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void exchangesRouteToTheirBoundQueues() throws Exception {
        for (String queue : List.of("a", "b", "c")) {
            channel.queueDeclare(queue, true, false, false, null);
        }
        channel.exchangeDeclare("d", "direct");
        channel.exchangeDeclare("f", "fanout");
        channel.exchangeDeclare("t", "topic");
        channel.queueBind("a", "d", "one");
        channel.queueBind("a", "f", "");
        channel.queueBind("b", "f", "");
        channel.queueBind("b", "t", "grain.*.north");
        channel.queueBind("c", "t", "grain.#");
        channel.confirmSelect();
        channel.basicPublish("d", "one", id("1"), bytes("x"));
        channel.basicPublish("f", "any", id("2"), bytes("x"));
        channel.basicPublish("t", "grain.wheat.north", id("3"), bytes("x"));
        channel.basicPublish("t", "grain", id("4"), bytes("x"));
        channel.basicPublish("", "c", id("5"), new byte[200_000]);
        channel.waitForConfirmsOrDie(5_000);
        assertEquals(2, broker.size("a"));
        assertEquals(2, broker.size("b"));
        assertEquals(3, broker.size("c"));
        assertEquals(Map.of("1", 1, "2", 2, "3", 2, "4", 1, "5", 1), broker.effects());
        assertEquals("k-1", broker.postings().get(0).key());
        assertEquals(
                200_000, broker.postings().get(broker.postings().size() - 1).body().length);
    }

    @Test
    void publishesAreReturnedNackedAndConfirmedTogether() throws Exception {
        channel.queueDeclare("q", true, false, false, null);
        channel.confirmSelect();
        ConcurrentLinkedQueue<String> events = new ConcurrentLinkedQueue<>();
        channel.addReturnListener((code, text, exchange, key, properties, body) ->
                events.add("return " + code + " " + properties.getMessageId()));
        channel.addConfirmListener(
                (tag, multiple) -> events.add("ack " + tag + " " + multiple),
                (tag, multiple) -> events.add("nack " + tag));
        channel.basicPublish("", "nowhere", true, id("1"), bytes("x"));
        channel.waitForConfirms(5_000);
        broker.setOutcomes(id -> id.equals("2")
                ? PublishOutcome.CONFIRM_WITH_NEXT
                : id.equals("4") ? PublishOutcome.NACK : PublishOutcome.CONFIRM);
        channel.basicPublish("", "q", id("2"), bytes("x"));
        channel.basicPublish("", "q", id("3"), bytes("x"));
        channel.basicPublish("", "q", id("4"), bytes("x"));
        channel.waitForConfirms(5_000);
        assertEquals(List.of("return 312 1", "ack 1 false", "ack 3 true", "nack 4"), List.copyOf(events));
        assertEquals(Map.of("2", 1, "3", 1), broker.effects());
    }

    @Test
    void prefetchLimitsDeliveriesAndUnacknowledgedOnesAreRedelivered() throws Exception {
        channel.queueDeclare("q", true, false, false, null);
        for (int i = 0; i < 5; i++) {
            channel.basicPublish("", "q", id("m" + i), bytes("x"));
        }
        channel.basicQos(2);
        LinkedBlockingQueue<Envelope> deliveries = new LinkedBlockingQueue<>();
        channel.basicConsume("q", false, new DefaultConsumer(channel) {
            @Override
            public void handleDelivery(String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body) {
                deliveries.add(envelope);
            }
        });
        Envelope first = deliveries.poll(5, TimeUnit.SECONDS);
        Envelope second = deliveries.poll(5, TimeUnit.SECONDS);
        assertFalse(first.isRedeliver());
        assertEquals(5, broker.size("q"));
        channel.basicAck(first.getDeliveryTag(), false);
        Envelope third = deliveries.poll(5, TimeUnit.SECONDS);
        assertEquals(second.getDeliveryTag() + 1, third.getDeliveryTag());
        assertTrue(deliveries.isEmpty(), "deliveries beyond the prefetch of 2");
        channel.basicReject(second.getDeliveryTag(), false);
        deliveries.poll(5, TimeUnit.SECONDS);
        connection.close();
        connection = factory().newConnection();
        channel = connection.createChannel();
        GetResponse redelivery = channel.basicGet("q", true);
        assertTrue(redelivery.getEnvelope().isRedeliver());
        assertEquals("m2", redelivery.getProps().getMessageId());
        assertEquals(List.of("m1"), broker.deadLetters());
        assertEquals(1, broker.acked("q"));
    }

    @Test
    void blockingIsAnnouncedAndRevoked() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblocked = new CountDownLatch(1);
        connection.addBlockedListener(reason -> blocked.countDown(), unblocked::countDown);
        broker.block(true);
        assertTrue(blocked.await(5, TimeUnit.SECONDS));
        broker.block(false);
        assertTrue(unblocked.await(5, TimeUnit.SECONDS));
    }

    @Test
    void missingExchangeClosesChannelAndWrongPasswordFailsConnection() throws Exception {
        channel.basicPublish("none", "k", id("1"), bytes("x"));
        assertThrows(AlreadyClosedException.class, () -> {
            while (true) {
                channel.basicPublish("", "k", id("2"), bytes("x"));
            }
        });
        assertTrue(
                channel.getCloseReason().getMessage().contains("404"),
                channel.getCloseReason().getMessage());
        ConnectionFactory wrong = factory();
        wrong.setPassword("wrong");
        assertThrows(IOException.class, wrong::newConnection);
    }

    @Test
    void connectionsAreCutMidFrameAndKeptAliveByHeartbeats() throws Exception {
        broker.cut(new FakeBroker.Cut(() -> 0, () -> 100));
        assertThrows(IOException.class, () -> factory().newConnection());
        broker.cut(new FakeBroker.Cut(() -> 300, () -> 0));
        assertThrows(IOException.class, () -> factory().newConnection());
        broker.cut(FakeBroker.Cut.NEVER);
        broker.heartbeatSeconds(1);
        try (Connection withHeartbeats = factory().newConnection()) {
            assertEquals(1, withHeartbeats.getHeartbeat());
            Thread.sleep(3_500);
            assertTrue(withHeartbeats.isOpen());
        }
    }
}
