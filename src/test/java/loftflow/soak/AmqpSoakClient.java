package loftflow.soak;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * An AMQP client that publishes in confirm mode and consumes its completions. A message that was unconfirmed when the
 * connection ended is published again under the same id.
 */
final class AmqpSoakClient implements Runnable {
    private static final MessageClass[] CLASSES = {
        MessageClass.IDEMPOTENT, MessageClass.KEYED, MessageClass.NON_IDEMPOTENT
    };
    private static final int MAX_PAUSE_MILLIS = 100;
    private static final String COMPLETIONS = "completions";

    /** A message that the relay has not confirmed yet. */
    private record Unconfirmed(String id, MessageClass type, int destination, long sequence, long sentAtNanos) {}

    private final String name;
    private final ClientContext context;
    private final int destinations;
    private final Random random;
    private final ArrayDeque<Unconfirmed> unconfirmed = new ArrayDeque<>();
    private final BlockingQueue<Boolean> confirms = new LinkedBlockingQueue<>();
    private Connection connection;
    private Channel channel;

    AmqpSoakClient(String name, long seed, int destinations, ClientContext context) {
        this.name = name;
        this.context = context;
        this.destinations = destinations;
        random = new Random(seed * 139 + name.hashCode());
    }

    @Override
    public void run() {
        while (!context.isOver()) {
            ClientContext.pause(1 + random.nextInt(MAX_PAUSE_MILLIS));
            try {
                if (connect()) {
                    publishNext();
                }
            } catch (IOException | TimeoutException | RuntimeException e) {
                close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        unconfirmed.forEach(message -> record(message, SoakHistory.Answer.NONE));
    }

    private boolean connect() throws IOException, TimeoutException {
        RelayUnderTest.Ports ports = context.ports();
        if (connection != null && connection.isOpen()) {
            return true;
        }
        if (ports == null) {
            return false;
        }
        close();
        ConnectionFactory factory = new ConnectionFactory();
        factory.setHost("127.0.0.1");
        factory.setPort(ports.amqp());
        factory.setAutomaticRecoveryEnabled(false);
        connection = factory.newConnection();
        channel = connection.createChannel();
        channel.confirmSelect();
        confirms.clear();
        channel.addConfirmListener((tag, multiple) -> confirms.add(true), (tag, multiple) -> confirms.add(false));
        Channel consuming = connection.createChannel();
        consuming.queueDeclare(COMPLETIONS + name, true, false, false, null);
        consuming.basicConsume(COMPLETIONS + name, false, new CompletionConsumer(consuming));
        return true;
    }

    private final class CompletionConsumer extends DefaultConsumer {
        CompletionConsumer(Channel channel) {
            super(channel);
        }

        @Override
        public void handleDelivery(String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
                throws IOException {
            context.history()
                    .completions
                    .add(new SoakHistory.Completion(
                            properties.getCorrelationId(), properties.getType(), System.nanoTime()));
            getChannel().basicAck(envelope.getDeliveryTag(), false);
        }
    }

    private void publishNext() throws IOException, InterruptedException {
        if (unconfirmed.isEmpty()) {
            long sequence = context.nextSequence();
            unconfirmed.add(new Unconfirmed(
                    name + "-" + sequence,
                    CLASSES[random.nextInt(CLASSES.length)],
                    1 + random.nextInt(destinations),
                    sequence,
                    System.nanoTime()));
        }
        Unconfirmed message = unconfirmed.peek();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - message.sentAtNanos());
        long remainingMillis = message.type().deadlineMillis() - elapsedMillis;
        if (remainingMillis <= 0) {
            unconfirmed.poll();
            record(message, SoakHistory.Answer.NONE);
            return;
        }
        publish(message, remainingMillis);
        Boolean isAccepted = confirms.poll(2, TimeUnit.SECONDS);
        if (isAccepted == null) {
            // The relay may have accepted the message, so it is published again on another connection under the same
            // id.
            close();
            return;
        }
        unconfirmed.poll();
        record(message, isAccepted ? SoakHistory.Answer.ACCEPTED : SoakHistory.Answer.REFUSED);
    }

    private void publish(Unconfirmed message, long remainingMillis) throws IOException {
        boolean isKeyed = message.type() == MessageClass.KEYED;
        channel.basicPublish(
                "loftflow",
                Integer.toString(message.destination()),
                true,
                new AMQP.BasicProperties.Builder()
                        .messageId(message.id())
                        .type(message.type().configuredName())
                        .replyTo(COMPLETIONS + name)
                        .correlationId(message.id())
                        .expiration(Long.toString(remainingMillis))
                        .headers(isKeyed ? Map.of("Idempotency-Key", "key-" + message.id()) : null)
                        .build(),
                "ok".getBytes(StandardCharsets.US_ASCII));
    }

    private void record(Unconfirmed message, SoakHistory.Answer answer) {
        context.record(message.id(), message.type(), "amqp", null, message.sequence(), message.sentAtNanos(), answer);
    }

    /** Closes the connection, after which completions are no longer received. */
    void close() {
        if (connection != null) {
            connection.abort(200);
            connection = null;
        }
    }
}
