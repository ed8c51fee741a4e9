package loftflow.interop;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.Connection;
import com.rabbitmq.client.ConnectionFactory;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeClient;
import loftflow.fake.ServedRelay;
import loftflow.listener.http2.RawHttp2Client;
import loftflow.server.RelayProcess;

/** Programs on one side of a relay: how they hand in, and how they hear of ends. */
abstract class InboundSide implements AutoCloseable {
    /** The table of the relay file. */
    abstract String table();

    /** Connects to a relay that serves. */
    abstract void connect(ServedRelay relay) throws Exception;

    /** True where the message was taken on, false where it was refused. */
    abstract boolean handIn(String id, String type, String key, int destination, long budgetMs) throws Exception;

    /** How often each end was told, by {@code id=end}; {@code done} is told over AMQP alone. */
    abstract Map<String, Integer> ends() throws Exception;

    /** True where delivered messages are told of. */
    abstract boolean tellsDelivered();

    @Override
    public abstract void close() throws IOException;

    /** Programs that hear of ends by the relay's file. */
    private abstract static class ByFile extends InboundSide {
        private final Path state;

        ByFile(Path state) {
            this.state = state;
        }

        @Override
        Map<String, Integer> ends() throws IOException {
            Map<String, Integer> ends = new HashMap<>();
            Path file = state.resolve("ends.jsonl");
            if (Files.exists(file)) {
                for (String line : Files.readAllLines(file)) {
                    ends.merge(
                            line.replaceAll(".*\"ref\":\"([^\"]*)\".*\"result\":\"([^\"]*)\".*", "$1=$2"),
                            1,
                            Integer::sum);
                }
            }
            return ends;
        }

        @Override
        boolean tellsDelivered() {
            return false;
        }
    }

    /** Programs that speak HTTP/1.1. */
    static final class Http extends ByFile {
        private FakeClient client;

        Http(Path state) {
            super(state);
        }

        @Override
        String table() {
            return "[[front]]\nlisten = \"127.0.0.1:0\"\n";
        }

        @Override
        void connect(ServedRelay relay) throws IOException {
            close();
            client = relay.client();
        }

        @Override
        boolean handIn(String id, String type, String key, int destination, long budgetMs) throws IOException {
            return client.handIn(id, type, null, key, destination, budgetMs, "body of " + id) == 202;
        }

        @Override
        public void close() throws IOException {
            if (client != null) {
                client.close();
            }
        }
    }

    /** Programs that send all on one connection of HTTP/2. */
    static final class Http2 extends ByFile {
        private RawHttp2Client client;

        Http2(Path state) {
            super(state);
        }

        @Override
        String table() {
            return "[[front]]\nprotocol = \"http2\"\nlisten = \"127.0.0.1:0\"\n";
        }

        @Override
        void connect(ServedRelay relay) throws IOException {
            close();
            client = RawHttp2Client.open("127.0.0.1", relay.http2Port());
        }

        @Override
        boolean handIn(String id, String type, String key, int destination, long budgetMs) throws IOException {
            return client.status(
                            client.send(RawHttp2Client.message(id, type, key, destination, budgetMs), "body of " + id))
                    == 202;
        }

        RawHttp2Client client() {
            return client;
        }

        @Override
        public void close() throws IOException {
            if (client != null) {
                client.close();
            }
        }
    }

    /** Programs that publish with RabbitMQ's own client, and consume their ends. */
    static final class Amqp extends InboundSide {
        private final Map<String, Integer> ends = new ConcurrentHashMap<>();
        private final List<Long> acked = new CopyOnWriteArrayList<>();
        private final Map<Long, BlockingQueue<Boolean>> waiting = new ConcurrentHashMap<>();
        private final List<String> returned = new ArrayList<>();
        private Connection connection;
        private Channel channel;

        @Override
        String table() {
            return "[[front]]\nprotocol = \"amqp\"\nlisten = \"127.0.0.1:0\"\nheartbeat = \"1s\"\n";
        }

        @Override
        void connect(ServedRelay relay) throws Exception {
            close();
            ConnectionFactory factory = new ConnectionFactory();
            factory.setHost("127.0.0.1");
            factory.setPort(relay.amqpPort());
            factory.setAutomaticRecoveryEnabled(false);
            connection = factory.newConnection();
            channel = connection.createChannel();
            channel.confirmSelect();
            waiting.clear();
            channel.addConfirmListener((tag, multiple) -> tell(tag, true), (tag, multiple) -> tell(tag, false));
            channel.addReturnListener((code, text, exchange, key, properties, body) -> {
                synchronized (returned) {
                    returned.add(properties.getMessageId() + " " + code);
                }
            });
            Channel taking = connection.createChannel();
            taking.queueDeclare("ends", true, false, false, null);
            taking.basicQos(10);
            taking.basicConsume("ends", false, new DefaultConsumer(taking) {
                @Override
                public void handleDelivery(String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
                        throws IOException {
                    ends.merge(properties.getCorrelationId() + "=" + properties.getType(), 1, Integer::sum);
                    getChannel().basicAck(envelope.getDeliveryTag(), false);
                }
            });
        }

        private void tell(long tag, boolean taken) {
            waiting.computeIfAbsent(tag, t -> new LinkedBlockingQueue<>()).add(taken);
            acked.add(tag);
        }

        @Override
        boolean handIn(String id, String type, String key, int destination, long budgetMs) throws Exception {
            long tag = channel.getNextPublishSeqNo();
            channel.basicPublish(
                    "loftflow",
                    Integer.toString(destination),
                    true,
                    new AMQP.BasicProperties.Builder()
                            .messageId(id)
                            .type(type)
                            .replyTo("ends")
                            .correlationId(id)
                            .expiration(Long.toString(budgetMs))
                            .headers(key == null ? null : Map.of("Idempotency-Key", key))
                            .build(),
                    ("body of " + id).getBytes(StandardCharsets.UTF_8));
            Boolean taken = waiting.computeIfAbsent(tag, t -> new LinkedBlockingQueue<>())
                    .poll(10, TimeUnit.SECONDS);
            if (taken == null) {
                throw new IOException("no confirm came");
            }
            return taken;
        }

        List<String> returned() {
            synchronized (returned) {
                return List.copyOf(returned);
            }
        }

        @Override
        Map<String, Integer> ends() {
            return ends;
        }

        @Override
        boolean tellsDelivered() {
            return true;
        }

        @Override
        public void close() {
            if (connection != null) {
                connection.abort(500);
            }
        }
    }

    /** Programs that publish to a broker, from whose queue the relay takes. */
    static final class Queue extends InboundSide {
        private final FakeBroker broker;

        Queue() throws IOException {
            broker = new FakeBroker();
            broker.declare("in");
            broker.declare("ends");
        }

        @Override
        String table() {
            return "[[broker]]\nname = \"own\"\nheartbeat = \"1s\"\n[[queue]]\nname = \"orders-in\"\nbroker = \"own\"\n"
                    + "address = \"" + broker.address() + "\"\nqueue = \"in\"\nprefetch = 5\n";
        }

        @Override
        void connect(ServedRelay relay) {}

        /** Once it has left the queue: taken on, or rejected for good. */
        @Override
        boolean handIn(String id, String type, String key, int destination, long budgetMs) {
            Properties properties = Properties.NONE
                    .with(Property.MESSAGE_ID, id)
                    .with(Property.TYPE, type)
                    .with(Property.REPLY_TO, "ends")
                    .with(Property.CORRELATION_ID, id)
                    .with(Property.EXPIRATION, Long.toString(budgetMs));
            broker.put(
                    "in",
                    Integer.toString(destination),
                    key == null
                            ? properties
                            : properties.with(Property.HEADERS, Map.<String, Object>of("Idempotency-Key", key)),
                    ("body of " + id).getBytes(StandardCharsets.UTF_8));
            RelayProcess.await(() -> broker.size("in") == 0);
            return !broker.deadLetters().contains(id);
        }

        @Override
        Map<String, Integer> ends() {
            Map<String, Integer> ends = new HashMap<>();
            broker.ready("ends")
                    .forEach(e -> ends.merge(
                            e.getKey().text(Property.CORRELATION_ID) + "="
                                    + e.getKey().text(Property.TYPE),
                            1,
                            Integer::sum));
            return ends;
        }

        @Override
        boolean tellsDelivered() {
            return true;
        }

        @Override
        public void close() {
            broker.close();
        }
    }
}
