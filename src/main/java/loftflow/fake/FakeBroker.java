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
 * A broker of AMQP 0-9-1 on a loopback port: exchanges, queues, confirms, returns, consumers with prefetch and
 * redelivery. It fails as it is told, and records every message that took effect, which is one that reached a queue.
 */
public final class FakeBroker implements AutoCloseable {
    /** What becomes of a publish. */
    public enum Fate {
        /** It takes effect and is confirmed. */
        CONFIRM,
        /** It takes effect; its confirm waits for the next one, which is for several. */
        CONFIRM_WITH_NEXT,
        /** It takes effect; its confirm comes behind the next one. */
        CONFIRM_AFTER_NEXT,
        /** It takes effect; its confirm comes after {@link #lateBy}. */
        CONFIRM_LATE,
        /** It takes effect, and no confirm comes. */
        NO_CONFIRM,
        /** It has no effect, and is refused. */
        NACK,
        /** It takes effect, and its channel is closed ahead of the confirm. */
        CLOSE_CHANNEL,
        /** It takes effect, and the connection is closed in an orderly way ahead of the confirm. */
        CLOSE_CONNECTION,
        /** It has no effect, and the connection breaks. */
        DROP_BEFORE,
        /** It takes effect, and the connection breaks. */
        DROP_AFTER,
        /** It has no effect, since its exchange is gone: 404. */
        NO_EXCHANGE
    }

    /** A publish that came whole. */
    public record Posting(
            String id, String key, String queue, Properties properties, byte[] body, long atNanos, boolean ran) {}

    /** How a connection's bytes end: in either direction after so many, mid-frame or not; 0 for never. */
    public record Cut(IntSupplier afterRead, IntSupplier afterWritten) {
        /** Connections last. */
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
    Function<String, Fate> fateOf = id -> Fate.CONFIRM;
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

    /** A broker on a free port. */
    public FakeBroker() throws IOException {
        this(null);
    }

    /** A broker on a free port that speaks TLS, where there is a context for it. */
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
            // Guards against the port of before, which the selector lets go of a little later than it is asked to.
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

    /** Does something on the broker's thread, and waits for it. */
    private <T> T on(Callable<T> task) {
        try {
            return loop.inEventLoop() ? task.call() : loop.submit(task).get(30, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void run(Runnable task) {
        on(() -> {
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

    // ---- what tests set up

    /** Makes a queue. */
    public void declare(String queue) {
        run(() -> queues.computeIfAbsent(queue, BrokerQueue::new));
    }

    /** Makes an exchange of a type, and binds a queue, which is made too, to it. */
    public void bind(String exchange, String type, String key, String queue) {
        run(() -> {
            exchanges.computeIfAbsent(exchange, e -> new BrokerExchange(type, new ArrayList<>()));
            queues.computeIfAbsent(queue, BrokerQueue::new);
            exchanges.get(exchange).bindings().add(new BrokerBinding(key, queue));
        });
    }

    /** Removes a queue and what is bound to it. */
    public void remove(String queue) {
        run(() -> {
            queues.remove(queue);
            exchanges.values().forEach(e -> e.bindings().removeIf(b -> b.queue().equals(queue)));
        });
    }

    /** Puts a message into a queue, as if someone had published it under a routing key. */
    public void put(String queue, String routingKey, Properties properties, byte[] body) {
        run(() -> {
            BrokerQueue to = queues.computeIfAbsent(queue, BrokerQueue::new);
            to.ready.add(new StoredMessage("", routingKey, properties, body));
            dispatch(to);
        });
    }

    /** Meets publishes in another way from now on, each by its message id. */
    public void fateOf(Function<String, Fate> next) {
        run(() -> fateOf = next);
    }

    /** Meets every publish alike from now on. */
    public void be(Fate fate) {
        fateOf(id -> fate);
    }

    /** Milliseconds by which late confirms come late. */
    public void lateBy(long millis) {
        run(() -> lateConfirmMillis = millis);
    }

    /** Changes the properties of messages that are returned from now on. */
    public void returnWith(UnaryOperator<Properties> change) {
        run(() -> returnedProperties = change);
    }

    /** Cuts connections from now on; those that are there stay as they are. */
    public void cut(Cut next) {
        run(() -> cut = next);
    }

    /** Loses acknowledgements as drawn: the connection breaks in their place, and what they were for comes again. */
    public void loseAcks(BooleanSupplier drawn) {
        run(() -> losesAcknowledgement = drawn);
    }

    /** Asks for heartbeats of so many seconds of connections from now on. */
    public void heartbeatSeconds(int seconds) {
        run(() -> heartbeatSeconds = seconds);
    }

    /** Reads on, or leaves unread what comes. */
    public void read(boolean on) {
        run(() -> {
            isReading = on;
            sessions.forEach(s -> s.channel.config().setAutoRead(on));
        });
    }

    /** Does nothing at all for so many milliseconds: neither reads, answers nor beats. */
    public void freeze(long millis) {
        loop.execute(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Tells every connection, also later ones, that publishes must wait, or need not any more. */
    public void block(boolean on) {
        run(() -> {
            isBlocked = on;
            sessions.forEach(FakeBrokerSession::sendBlockedState);
        });
    }

    /** Breaks every connection. */
    public void drop() {
        run(() -> List.copyOf(sessions).forEach(s -> s.channel.close()));
    }

    /** Says something on a channel of every connection, whether it makes sense or not. */
    public void say(int channel, Method method) {
        run(() -> sessions.forEach(s -> s.connection.send(channel, method)));
    }

    /** Ends every connection and listens no more. */
    public void shut() {
        run(() -> {
            listener.close();
            List.copyOf(sessions).forEach(s -> s.channel.close());
        });
    }

    /** Listens again on the same port; without what it knew of exchanges and queues, where it forgets. */
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

    // ---- what tests ask

    /** Every publish so far, once for each queue that it reached, and once where it reached none. */
    public List<Posting> postings() {
        return on(() -> List.copyOf(postings));
    }

    /** How often each message took effect. */
    public Map<String, Integer> effects() {
        return on(() -> {
            Map<String, Integer> effects = new HashMap<>();
            postings.stream().filter(Posting::ran).forEach(p -> effects.merge(p.id, 1, Integer::sum));
            return effects;
        });
    }

    /** The bodies that lie in a queue, also those handed out and not acknowledged. */
    public int size(String queue) {
        return on(() -> queues.containsKey(queue)
                ? queues.get(queue).ready.size()
                        + (int) sessions.stream()
                                .flatMap(s -> s.channels.values().stream())
                                .flatMap(c -> c.unacked.values().stream())
                                .filter(d -> d.queue().name.equals(queue))
                                .count()
                : 0);
    }

    /** How many deliveries of a queue were acknowledged. */
    public int acked(String queue) {
        return on(() -> queues.containsKey(queue) ? queues.get(queue).acked : 0);
    }

    /** Ids of messages that were rejected for good. */
    public List<String> deadLetters() {
        return on(() -> !queues.containsKey(DEAD_LETTERS)
                ? List.of()
                : queues.get(DEAD_LETTERS).ready.stream()
                        .map(s -> s.properties.text(Property.MESSAGE_ID))
                        .toList());
    }

    /** The messages that lie ready in a queue: properties and bodies, the oldest first. */
    public List<Map.Entry<Properties, byte[]>> ready(String queue) {
        return on(() -> !queues.containsKey(queue)
                ? List.of()
                : queues.get(queue).ready.stream()
                        .map(s -> Map.entry(s.properties, s.body))
                        .toList());
    }

    /** How many publishes came from clients that knew that they had to wait. */
    public int publishesWhileBlocked() {
        return on(() -> publishesWhileBlocked);
    }

    /** How many connections there were. */
    public int connections() {
        return on(() -> connections);
    }

    /** How many there are. */
    public int connected() {
        return on(sessions::size);
    }

    @Override
    public void close() {
        shut();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- the broker

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

    /** A topic's pattern: {@code *} stands for one word, {@code #} for any number of them. */
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
        boolean progress = true;
        while (progress && !queue.ready.isEmpty()) {
            progress = false;
            for (BrokerConsumer consumer : List.copyOf(queue.consumers)) {
                BrokerChannel state = consumer.state();
                boolean room = consumer.noAck() || state.prefetch == 0 || state.unacked.size() < state.prefetch;
                if (room
                        && !queue.ready.isEmpty()
                        && consumer.session().connection.isOpen(state.number)) {
                    StoredMessage message = queue.ready.poll();
                    progress = true;
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
