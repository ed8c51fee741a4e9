package loftflow.fake;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;

/**
 * An AMQP 0-9-1 broker on a loopback port, with exchanges, queues, publisher confirms, returns, consumers with
 * prefetch, and redelivery. Fails on demand and records every publish; one that reached a queue counts as executed.
 */
public final class FakeBroker implements AutoCloseable {
    /** The outcome of a publish. */
    public enum PublishOutcome {
        /** It takes effect and is confirmed. */
        CONFIRM,
        /** It takes effect; it is confirmed with the next one by a confirm for multiple messages. */
        CONFIRM_WITH_NEXT,
        /** It takes effect; its confirm follows the next one. */
        CONFIRM_AFTER_NEXT,
        /** It takes effect; its confirm is sent after the delay set by {@link #lateBy}. */
        CONFIRM_LATE,
        /** It takes effect, and no confirm is sent. */
        NO_CONFIRM,
        /** It has no effect, and is negatively acknowledged. */
        NACK,
        /** It takes effect, and its channel is closed before the confirm. */
        CLOSE_CHANNEL,
        /** It takes effect, and the connection is closed gracefully before the confirm. */
        CLOSE_CONNECTION,
        /** It has no effect, and the connection is dropped. */
        DROP_BEFORE,
        /** It takes effect, and the connection is dropped. */
        DROP_AFTER,
        /** It has no effect, and is answered as if its exchange did not exist (404). */
        NO_EXCHANGE
    }

    /** A publish that was received whole; {@code queue} is null if it reached none. */
    public record Posting(
            String id, String key, String queue, Properties properties, byte[] body, long atNanos, boolean ran) {}

    /** Numbers of bytes after which a connection is closed, in either direction and also mid-frame; 0 for no limit. */
    public record Cut(IntSupplier afterRead, IntSupplier afterWritten) {
        /** Cuts no connection. */
        public static final Cut NEVER = new Cut(() -> 0, () -> 0);
    }

    static final int MAX_FRAME_BYTES = 8 << 10;
    static final int MAX_CHANNELS = 2047;
    static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_BIND_ATTEMPTS = 250;
    static final String DEAD_LETTERS = "dead-letters";

    private final MultiThreadIoEventLoopGroup group;
    final EventLoop loop;
    final Map<String, BrokerExchange> exchanges = new HashMap<>();
    final Map<String, BrokerQueue> queues = new LinkedHashMap<>();
    final Set<FakeBrokerSession> sessions = new LinkedHashSet<>();
    final List<Posting> postings = new ArrayList<>();
    private final SslContext tls;
    private Channel listener;
    private int port;
    Function<String, PublishOutcome> outcomeById = id -> PublishOutcome.CONFIRM;
    private Cut cut = Cut.NEVER;
    long lateConfirmMillis;
    UnaryOperator<Properties> returnedProperties = UnaryOperator.identity();
    BooleanSupplier losesAcknowledgement = () -> false;
    boolean isBlocked;
    private boolean isReading = true;
    int heartbeatSeconds;
    int publishesWhileBlocked;
    private int connections;
    int generatedNames;

    /** Starts a broker on a free port. */
    public FakeBroker() throws IOException {
        this(null);
    }

    /** Starts a broker on a free port; {@code tls} is null for plain TCP. */
    public FakeBroker(SslContext tls) throws IOException {
        this.tls = tls;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        exchanges.put("", new BrokerExchange("direct", new ArrayList<>()));
        listen();
    }

    private void listen() throws IOException {
        try {
            ChannelFuture bound = bind();
            // After a restart the port may still be in use, because the selector releases the closed socket with a
            // delay.
            for (int i = 0; !bound.isSuccess() && port != 0 && i < MAX_BIND_ATTEMPTS; i++) {
                TimeUnit.MILLISECONDS.sleep(20);
                bound = bind();
            }
            listener = bound.sync().channel();
            port = ((InetSocketAddress) listener.localAddress()).getPort();
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }

    private ChannelFuture bind() throws InterruptedException {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        accept(ch);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .await();
    }

    private void accept(SocketChannel ch) {
        connections++;
        FakeBrokerSession session = new FakeBrokerSession(this, ch);
        ch.config().setAutoRead(isReading);
        ch.pipeline()
                .addLast(new ConnectionCutter(
                        cut.afterRead().getAsInt(), cut.afterWritten().getAsInt()));
        if (tls != null) {
            ch.pipeline().addLast(tls.newHandler(ch.alloc()));
        }
        ch.pipeline().addLast(session.connection);
    }

    /** Executes a task on the event loop of the broker and waits for its result. */
    private <T> T call(Callable<T> task) {
        try {
            return loop.inEventLoop() ? task.call() : loop.submit(task).get(30, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void run(Runnable task) {
        call(() -> {
            task.run();
            return null;
        });
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    public int port() {
        return port;
    }

    // ---- configuration by tests

    /** Declares a queue. */
    public void declare(String queue) {
        run(() -> queues.computeIfAbsent(queue, BrokerQueue::new));
    }

    /** Declares an exchange of a type and a queue, and binds the queue to the exchange. */
    public void bind(String exchange, String type, String key, String queue) {
        run(() -> {
            exchanges.computeIfAbsent(exchange, e -> new BrokerExchange(type, new ArrayList<>()));
            queues.computeIfAbsent(queue, BrokerQueue::new);
            exchanges.get(exchange).bindings().add(new BrokerBinding(key, queue));
        });
    }

    /** Removes a queue and its bindings. */
    public void remove(String queue) {
        run(() -> {
            queues.remove(queue);
            exchanges.values().forEach(e -> e.bindings().removeIf(b -> b.queue().equals(queue)));
        });
    }

    /** Enqueues a message as if it had been published with a routing key. */
    public void put(String queue, String routingKey, Properties properties, byte[] body) {
        run(() -> {
            BrokerQueue to = queues.computeIfAbsent(queue, BrokerQueue::new);
            to.ready.add(new StoredMessage("", routingKey, properties, body));
            dispatch(to);
        });
    }

    /** Sets the function that selects the outcome of a publish by its message id. */
    public void setOutcomes(Function<String, PublishOutcome> next) {
        run(() -> outcomeById = next);
    }

    /** Sets the same outcome for every publish from now on. */
    public void setOutcome(PublishOutcome outcome) {
        setOutcomes(id -> outcome);
    }

    /** Sets the delay of late confirms in milliseconds. */
    public void lateBy(long millis) {
        run(() -> lateConfirmMillis = millis);
    }

    /** Sets a function that changes the properties of returned messages. */
    public void returnWith(UnaryOperator<Properties> change) {
        run(() -> returnedProperties = change);
    }

    /** Sets the cut for connections accepted from now on. */
    public void cut(Cut next) {
        run(() -> cut = next);
    }

    /** Drops the connection instead of an acknowledgement if {@code drawn} is true; its messages are redelivered. */
    public void loseAcks(BooleanSupplier drawn) {
        run(() -> losesAcknowledgement = drawn);
    }

    /** Sets the heartbeat interval proposed to connections from now on, in seconds. */
    public void heartbeatSeconds(int seconds) {
        run(() -> heartbeatSeconds = seconds);
    }

    /** Sets whether the broker reads from its connections. */
    public void read(boolean on) {
        run(() -> {
            isReading = on;
            sessions.forEach(s -> s.channel.config().setAutoRead(on));
        });
    }

    /** Blocks the event loop for a number of milliseconds: no reads, responses or heartbeats. */
    public void freeze(long millis) {
        loop.execute(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Announces on all connections, also later ones, that publishing is blocked or unblocked. */
    public void block(boolean on) {
        run(() -> {
            isBlocked = on;
            sessions.forEach(FakeBrokerSession::sendBlockedState);
        });
    }

    /** Drops every connection. */
    public void drop() {
        run(() -> List.copyOf(sessions).forEach(s -> s.channel.close()));
    }

    /** Sends a method, which need not be valid there, on a channel of every connection. */
    public void say(int channel, Method method) {
        run(() -> sessions.forEach(s -> s.connection.send(channel, method)));
    }

    /** Closes every connection and stops listening. */
    public void shut() {
        run(() -> {
            listener.close();
            List.copyOf(sessions).forEach(s -> s.channel.close());
        });
    }

    /** Listens again on the same port; {@code forgets} discards all exchanges and queues first. */
    public void open(boolean forgets) throws IOException {
        if (forgets) {
            run(() -> {
                queues.clear();
                exchanges.clear();
                exchanges.put("", new BrokerExchange("direct", new ArrayList<>()));
            });
        }
        listen();
    }

    // ---- state observed by tests

    /** Returns all publishes so far, once for each queue reached, or once if a publish reached none. */
    public List<Posting> postings() {
        return call(() -> List.copyOf(postings));
    }

    /** Returns the number of executions by message id. */
    public Map<String, Integer> effects() {
        return call(() -> {
            Map<String, Integer> effects = new HashMap<>();
            postings.stream().filter(Posting::ran).forEach(p -> effects.merge(p.id, 1, Integer::sum));
            return effects;
        });
    }

    /** Returns the number of messages in a queue, including delivered ones that are not acknowledged. */
    public int size(String queue) {
        return call(() -> queues.containsKey(queue)
                ? queues.get(queue).ready.size()
                        + (int) sessions.stream()
                                .flatMap(s -> s.channels.values().stream())
                                .flatMap(c -> c.unacked.values().stream())
                                .filter(d -> d.queue().name.equals(queue))
                                .count()
                : 0);
    }

    /** Returns the number of acknowledged deliveries of a queue. */
    public int acked(String queue) {
        return call(() -> queues.containsKey(queue) ? queues.get(queue).acked : 0);
    }

    /** Returns the ids of messages that were rejected without requeueing. */
    public List<String> deadLetters() {
        return call(() -> !queues.containsKey(DEAD_LETTERS)
                ? List.of()
                : queues.get(DEAD_LETTERS).ready.stream()
                        .map(s -> s.properties.text(Property.MESSAGE_ID))
                        .toList());
    }

    /** Returns the properties and bodies of the messages that are ready in a queue, the oldest first. */
    public List<Map.Entry<Properties, byte[]>> ready(String queue) {
        return call(() -> !queues.containsKey(queue)
                ? List.of()
                : queues.get(queue).ready.stream()
                        .map(s -> Map.entry(s.properties, s.body))
                        .toList());
    }

    /** Returns the number of publishes from clients that already knew that publishing was blocked. */
    public int publishesWhileBlocked() {
        return call(() -> publishesWhileBlocked);
    }

    /** Returns the number of connections accepted so far. */
    public int connections() {
        return call(() -> connections);
    }

    /** Returns the number of open connections. */
    public int connected() {
        return call(sessions::size);
    }

    @Override
    public void close() {
        shut();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- routing and delivery

    Set<BrokerQueue> route(String exchange, String key) {
        Set<BrokerQueue> to = new LinkedHashSet<>();
        if (exchange.isEmpty()) {
            if (queues.containsKey(key)) {
                to.add(queues.get(key));
            }
            return to;
        }
        BrokerExchange from = exchanges.get(exchange);
        for (BrokerBinding binding : from.bindings()) {
            boolean matches =
                    switch (from.type()) {
                        case "fanout" -> true;
                        case "topic" -> matches(binding.key().split("\\."), 0, key.split("\\."), 0);
                        default -> binding.key().equals(key);
                    };
            if (matches && queues.containsKey(binding.queue())) {
                to.add(queues.get(binding.queue()));
            }
        }
        return to;
    }

    /** Matches a topic pattern, in which {@code *} stands for one word and {@code #} for any number of words. */
    private static boolean matches(String[] pattern, int p, String[] words, int w) {
        if (p == pattern.length) {
            return w == words.length;
        }
        if (pattern[p].equals("#")) {
            return matches(pattern, p + 1, words, w) || w < words.length && matches(pattern, p, words, w + 1);
        }
        return w < words.length
                && (pattern[p].equals("*") || pattern[p].equals(words[w]))
                && matches(pattern, p + 1, words, w + 1);
    }

    void dispatch(BrokerQueue queue) {
        boolean hasDelivered = true;
        while (hasDelivered && !queue.ready.isEmpty()) {
            hasDelivered = false;
            for (BrokerConsumer consumer : List.copyOf(queue.consumers)) {
                BrokerChannel state = consumer.state();
                boolean hasPrefetchLeft =
                        consumer.noAck() || state.prefetch == 0 || state.unacked.size() < state.prefetch;
                if (hasPrefetchLeft
                        && !queue.ready.isEmpty()
                        && consumer.session().connection.isOpen(state.number)) {
                    StoredMessage message = queue.ready.poll();
                    hasDelivered = true;
                    long tag = ++state.delivered;
                    if (!consumer.noAck()) {
                        state.unacked.put(tag, new UnackedDelivery(queue, message));
                    }
                    consumer.session()
                            .connection
                            .send(
                                    state.number,
                                    Method.of(
                                            MethodType.BASIC_DELIVER,
                                            consumer.tag(),
                                            tag,
                                            message.redelivered,
                                            message.exchange,
                                            message.routingKey),
                                    message.properties,
                                    message.body);
                }
            }
        }
    }

    void requeue(UnackedDelivery delivery) {
        delivery.message().redelivered = true;
        delivery.queue().ready.addFirst(delivery.message());
    }
}
