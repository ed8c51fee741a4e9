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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpConnection;
import loftflow.amqp.link.AmqpServerConnection;

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
        SILENT,
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

    private static final int FRAME_MAX = 8 << 10;
    private static final int MOST_CHANNELS = 2047;
    private static final int MOST_BODY = 1 << 20;
    private static final int MOST_BINDS = 250;
    private static final String DEAD_LETTERS = "dead-letters";
    private static final String KEY = "Idempotency-Key";

    private record Binding(String key, String queue) {}

    private record Exchange(String type, List<Binding> bindings) {}

    private static final class Stored {
        final String exchange;
        final String routingKey;
        final Properties properties;
        final byte[] body;
        boolean redelivered;

        Stored(String exchange, String routingKey, Properties properties, byte[] body) {
            this.exchange = exchange;
            this.routingKey = routingKey;
            this.properties = properties;
            this.body = body;
        }
    }

    private static final class Queue {
        final String name;
        final ArrayDeque<Stored> ready = new ArrayDeque<>();
        final List<Consumer> consumers = new ArrayList<>();
        int acked;

        Queue(String name) {
            this.name = name;
        }
    }

    private record Delivery(Queue queue, Stored message) {}

    private record Consumer(Session session, ChannelState state, String tag, Queue queue, boolean noAck) {}

    private static final class ChannelState {
        final int number;
        boolean confirms;
        long published;
        long delivered;
        int prefetch;
        /** Tags that have taken effect and are not confirmed, with what is to become of them. */
        final TreeMap<Long, Fate> held = new TreeMap<>();

        final TreeMap<Long, Delivery> unacked = new TreeMap<>();
        final List<Consumer> consumers = new ArrayList<>();

        ChannelState(int number) {
            this.number = number;
        }
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<String, Queue> queues = new LinkedHashMap<>();
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final List<Posting> postings = new ArrayList<>();
    private final SslContext tls;
    private Channel listener;
    private int port;
    private Function<String, Fate> script = id -> Fate.CONFIRM;
    private Cut cut = Cut.NEVER;
    private long lateMillis;
    private BooleanSupplier losesAck = () -> false;
    private boolean blocked;
    private boolean reading = true;
    private int heartbeat;
    private int waitsBroken;
    private int connections;
    private int names;

    /** A broker on a free port. */
    public FakeBroker() throws IOException {
        this(null);
    }

    /** A broker on a free port that speaks TLS, where there is a context for it. */
    public FakeBroker(SslContext tls) throws IOException {
        this.tls = tls;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        exchanges.put("", new Exchange("direct", new ArrayList<>()));
        listen();
    }

    private void listen() throws IOException {
        try {
            ChannelFuture bound = bind();
            // Guards against the port of before, which the selector lets go of a little later than it is asked to.
            for (int i = 0; !bound.isSuccess() && port != 0 && i < MOST_BINDS; i++) {
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
        Session session = new Session(ch);
        ch.config().setAutoRead(reading);
        ch.pipeline()
                .addLast(new ConnectionCutter(
                        cut.afterRead().getAsInt(), cut.afterWritten().getAsInt()));
        if (tls != null) {
            ch.pipeline().addLast(tls.newHandler(ch.alloc()));
        }
        ch.pipeline().addLast(session.link);
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
        run(() -> queues.computeIfAbsent(queue, Queue::new));
    }

    /** Makes an exchange of a type, and binds a queue, which is made too, to it. */
    public void bind(String exchange, String type, String key, String queue) {
        run(() -> {
            exchanges.computeIfAbsent(exchange, e -> new Exchange(type, new ArrayList<>()));
            queues.computeIfAbsent(queue, Queue::new);
            exchanges.get(exchange).bindings.add(new Binding(key, queue));
        });
    }

    /** Removes a queue and what is bound to it. */
    public void remove(String queue) {
        run(() -> {
            queues.remove(queue);
            exchanges.values().forEach(e -> e.bindings.removeIf(b -> b.queue.equals(queue)));
        });
    }

    /** Puts a message into a queue, as if someone had published it under a routing key. */
    public void put(String queue, String routingKey, Properties properties, byte[] body) {
        run(() -> {
            Queue to = queues.computeIfAbsent(queue, Queue::new);
            to.ready.add(new Stored("", routingKey, properties, body));
            dispatch(to);
        });
    }

    /** Meets publishes in another way from now on, each by its message id. */
    public void script(Function<String, Fate> next) {
        run(() -> script = next);
    }

    /** Meets every publish alike from now on. */
    public void be(Fate fate) {
        script(id -> fate);
    }

    /** Milliseconds by which late confirms come late. */
    public void lateBy(long millis) {
        run(() -> lateMillis = millis);
    }

    /** Cuts connections from now on; those that are there stay as they are. */
    public void cut(Cut next) {
        run(() -> cut = next);
    }

    /** Loses acknowledgements as drawn: the connection breaks in their place, and what they were for comes again. */
    public void loseAcks(BooleanSupplier drawn) {
        run(() -> losesAck = drawn);
    }

    /** Asks for heartbeats of so many seconds of connections from now on. */
    public void heartbeat(int seconds) {
        run(() -> heartbeat = seconds);
    }

    /** Reads on, or leaves unread what comes. */
    public void read(boolean on) {
        run(() -> {
            reading = on;
            sessions.forEach(s -> s.ch.config().setAutoRead(on));
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
            blocked = on;
            sessions.forEach(Session::tellBlocked);
        });
    }

    /** Breaks every connection. */
    public void drop() {
        run(() -> List.copyOf(sessions).forEach(s -> s.ch.close()));
    }

    /** Says something on a channel of every connection, whether it makes sense or not. */
    public void say(int channel, Method method) {
        run(() -> sessions.forEach(s -> s.link.send(channel, method)));
    }

    /** Ends every connection and listens no more. */
    public void shut() {
        run(() -> {
            listener.close();
            List.copyOf(sessions).forEach(s -> s.ch.close());
        });
    }

    /** Listens again on the same port; without what it knew of exchanges and queues, where it forgets. */
    public void open(boolean forgets) throws IOException {
        if (forgets) {
            run(() -> {
                queues.clear();
                exchanges.clear();
                exchanges.put("", new Exchange("direct", new ArrayList<>()));
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
                                .filter(d -> d.queue.name.equals(queue))
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
    public int waitsBroken() {
        return on(() -> waitsBroken);
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

    private Set<Queue> route(String exchange, String key) {
        Set<Queue> to = new LinkedHashSet<>();
        if (exchange.isEmpty()) {
            if (queues.containsKey(key)) {
                to.add(queues.get(key));
            }
            return to;
        }
        Exchange from = exchanges.get(exchange);
        for (Binding binding : from.bindings) {
            boolean matches =
                    switch (from.type) {
                        case "fanout" -> true;
                        case "topic" -> matches(binding.key.split("\\."), 0, key.split("\\."), 0);
                        default -> binding.key.equals(key);
                    };
            if (matches && queues.containsKey(binding.queue)) {
                to.add(queues.get(binding.queue));
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

    private void dispatch(Queue queue) {
        boolean progress = true;
        while (progress && !queue.ready.isEmpty()) {
            progress = false;
            for (Consumer consumer : List.copyOf(queue.consumers)) {
                ChannelState state = consumer.state;
                boolean room = consumer.noAck || state.prefetch == 0 || state.unacked.size() < state.prefetch;
                if (room && !queue.ready.isEmpty() && consumer.session.link.isOpen(state.number)) {
                    Stored message = queue.ready.poll();
                    progress = true;
                    long tag = ++state.delivered;
                    if (!consumer.noAck) {
                        state.unacked.put(tag, new Delivery(queue, message));
                    }
                    consumer.session.link.send(
                            state.number,
                            Method.of(
                                    MethodType.BASIC_DELIVER,
                                    consumer.tag,
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

    private void requeue(Delivery delivery) {
        delivery.message.redelivered = true;
        delivery.queue.ready.addFirst(delivery.message);
    }

    private final class Session implements AmqpServerConnection.Listener {
        private final SocketChannel ch;
        private final AmqpServerConnection link;
        private final Map<Integer, ChannelState> channels = new HashMap<>();
        private boolean knowsBlocked;

        Session(SocketChannel ch) {
            this.ch = ch;
            link = new AmqpServerConnection(
                    new AmqpServerConnection.Limits("stand-in", MOST_CHANNELS, FRAME_MAX, heartbeat),
                    MOST_BODY,
                    AmqpConnection.UNLIMITED_BODY_BUDGET,
                    this);
        }

        @Override
        public boolean isAuthorized(String user, String password) {
            return !password.equals("wrong");
        }

        @Override
        public void onOpened(String virtualHost) {
            sessions.add(this);
            if (blocked) {
                // Behind the answer that is sent when this returns.
                loop.execute(this::tellBlocked);
            }
        }

        /** What a client sends behind its answer to a flow was sent in the knowledge of what came ahead of the flow. */
        private void tellBlocked() {
            if (!ch.isActive()) {
                return;
            }
            link.send(
                    0,
                    blocked
                            ? Method.of(MethodType.CONNECTION_BLOCKED, "low on memory")
                            : Method.of(MethodType.CONNECTION_UNBLOCKED));
            if (blocked) {
                channels.keySet().forEach(c -> link.send(c, Method.of(MethodType.CHANNEL_FLOW, true)));
            } else {
                knowsBlocked = false;
            }
        }

        @Override
        public void onChannelOpened(int channel) {
            channels.put(channel, new ChannelState(channel));
            knowsBlocked |= blocked;
        }

        @Override
        public void onChannelClosed(int channel) {
            ChannelState state = channels.remove(channel);
            state.consumers.forEach(c -> c.queue.consumers.remove(c));
            List<Delivery> back = new ArrayList<>(state.unacked.descendingMap().values());
            back.forEach(FakeBroker.this::requeue);
            back.stream().map(Delivery::queue).distinct().forEach(FakeBroker.this::dispatch);
        }

        @Override
        public void onClosed(String reason) {
            sessions.remove(this);
        }

        @Override
        public void onCommand(Command command) throws AmqpException {
            ChannelState state = channels.get(command.channel());
            Method m = command.method();
            switch (command.type()) {
                case EXCHANGE_DECLARE -> {
                    exchange(m);
                    answer(state, m, Method.of(MethodType.EXCHANGE_DECLARE_OK));
                }
                case EXCHANGE_DELETE -> {
                    exchanges.remove(m.text("exchange"));
                    answer(state, m, Method.of(MethodType.EXCHANGE_DELETE_OK));
                }
                case QUEUE_DECLARE -> queue(state, m);
                case QUEUE_BIND -> {
                    existing(m.text("queue"));
                    if (!exchanges.containsKey(m.text("exchange"))) {
                        throw new AmqpException(
                                AmqpException.NOT_FOUND, "NOT_FOUND - no exchange " + m.text("exchange"));
                    }
                    exchanges.get(m.text("exchange")).bindings.add(new Binding(m.text("routing-key"), m.text("queue")));
                    answer(state, m, Method.of(MethodType.QUEUE_BIND_OK));
                }
                case QUEUE_PURGE -> {
                    long there = existing(m.text("queue")).ready.size();
                    existing(m.text("queue")).ready.clear();
                    answer(state, m, Method.of(MethodType.QUEUE_PURGE_OK, there));
                }
                case QUEUE_DELETE -> {
                    Queue gone = queues.remove(m.text("queue"));
                    answer(state, m, Method.of(MethodType.QUEUE_DELETE_OK, gone == null ? 0L : gone.ready.size()));
                }
                case BASIC_QOS -> {
                    state.prefetch = (int) m.number("prefetch-count");
                    link.send(state.number, Method.of(MethodType.BASIC_QOS_OK));
                }
                case BASIC_CONSUME -> consume(state, m);
                case BASIC_CANCEL -> cancel(state, m);
                case BASIC_GET -> get(state, m);
                case BASIC_PUBLISH -> publish(state, command);
                case BASIC_ACK -> settle(state, m.number("delivery-tag"), m.flag("multiple"), true, false);
                case BASIC_NACK -> settle(
                        state, m.number("delivery-tag"), m.flag("multiple"), false, m.flag("requeue"));
                case BASIC_REJECT -> settle(state, m.number("delivery-tag"), false, false, m.flag("requeue"));
                case CONFIRM_SELECT -> {
                    state.confirms = true;
                    answer(state, m, Method.of(MethodType.CONFIRM_SELECT_OK));
                }
                case CHANNEL_FLOW -> link.send(state.number, Method.of(MethodType.CHANNEL_FLOW_OK, m.flag("active")));
                case CHANNEL_FLOW_OK -> knowsBlocked = blocked;
                default -> throw new AmqpException(
                        AmqpException.NOT_IMPLEMENTED, command.type() + " is not implemented");
            }
        }

        private void answer(ChannelState state, Method asked, Method answer) {
            if (!asked.flag("no-wait")) {
                link.send(state.number, answer);
            }
        }

        private void exchange(Method m) throws AmqpException {
            boolean there = exchanges.containsKey(m.text("exchange"));
            if (m.flag("passive") && !there) {
                throw new AmqpException(
                        AmqpException.NOT_FOUND, "NOT_FOUND - no exchange '" + m.text("exchange") + "'");
            }
            if (there
                    && !m.flag("passive")
                    && !exchanges.get(m.text("exchange")).type.equals(m.text("type"))) {
                throw new AmqpException(AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - another type");
            }
            exchanges.computeIfAbsent(m.text("exchange"), e -> new Exchange(m.text("type"), new ArrayList<>()));
        }

        private Queue existing(String name) throws AmqpException {
            Queue queue = queues.get(name);
            if (queue == null) {
                throw new AmqpException(AmqpException.NOT_FOUND, "NOT_FOUND - no queue '" + name + "'");
            }
            return queue;
        }

        private void queue(ChannelState state, Method m) throws AmqpException {
            String name = m.text("queue").isEmpty() ? "amq.gen-" + names++ : m.text("queue");
            Queue queue = m.flag("passive") ? existing(name) : queues.computeIfAbsent(name, Queue::new);
            answer(state, m, Method.of(MethodType.QUEUE_DECLARE_OK, name, (long) queue.ready.size(), (long)
                    queue.consumers.size()));
        }

        private void consume(ChannelState state, Method m) throws AmqpException {
            Queue queue = existing(m.text("queue"));
            String tag = m.text("consumer-tag").isEmpty() ? "ctag-" + names++ : m.text("consumer-tag");
            Consumer consumer = new Consumer(this, state, tag, queue, m.flag("no-ack"));
            answer(state, m, Method.of(MethodType.BASIC_CONSUME_OK, tag));
            state.consumers.add(consumer);
            queue.consumers.add(consumer);
            dispatch(queue);
        }

        private void cancel(ChannelState state, Method m) {
            state.consumers.stream()
                    .filter(c -> c.tag.equals(m.text("consumer-tag")))
                    .toList()
                    .forEach(c -> {
                        state.consumers.remove(c);
                        c.queue.consumers.remove(c);
                    });
            answer(state, m, Method.of(MethodType.BASIC_CANCEL_OK, m.text("consumer-tag")));
        }

        private void get(ChannelState state, Method m) throws AmqpException {
            Queue queue = existing(m.text("queue"));
            Stored message = queue.ready.poll();
            if (message == null) {
                link.send(state.number, Method.of(MethodType.BASIC_GET_EMPTY));
                return;
            }
            long tag = ++state.delivered;
            if (!m.flag("no-ack")) {
                state.unacked.put(tag, new Delivery(queue, message));
            }
            link.send(
                    state.number,
                    Method.of(
                            MethodType.BASIC_GET_OK,
                            tag,
                            message.redelivered,
                            message.exchange,
                            message.routingKey,
                            (long) queue.ready.size()),
                    message.properties,
                    message.body);
        }

        private void settle(ChannelState state, long tag, boolean multiple, boolean acks, boolean requeues)
                throws AmqpException {
            if (acks && losesAck.getAsBoolean()) {
                ch.close();
                return;
            }
            Map<Long, Delivery> settled = multiple
                    ? new TreeMap<>(state.unacked.headMap(tag == 0 ? Long.MAX_VALUE : tag, true))
                    : state.unacked.containsKey(tag) ? Map.of(tag, state.unacked.get(tag)) : Map.of();
            if (settled.isEmpty() && tag != 0) {
                throw new AmqpException(
                        AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - unknown delivery tag " + tag);
            }
            Set<Queue> touched = new LinkedHashSet<>();
            settled.forEach((t, delivery) -> {
                state.unacked.remove(t);
                touched.add(delivery.queue);
                if (acks) {
                    delivery.queue.acked++;
                } else if (requeues) {
                    requeue(delivery);
                } else {
                    queues.computeIfAbsent(DEAD_LETTERS, Queue::new).ready.add(delivery.message);
                }
            });
            touched.forEach(FakeBroker.this::dispatch);
            state.consumers.forEach(c -> dispatch(c.queue));
        }

        private void publish(ChannelState state, Command command) throws AmqpException {
            Method m = command.method();
            Properties properties = command.properties();
            String id = properties.text(Property.MESSAGE_ID);
            waitsBroken += knowsBlocked && blocked ? 1 : 0;
            long tag = state.confirms ? ++state.published : 0;
            Fate fate = script.apply(id);
            String exchange = m.text("exchange");
            if (fate == Fate.NO_EXCHANGE || !exchanges.containsKey(exchange)) {
                throw new AmqpException(
                        AmqpException.NOT_FOUND, "NOT_FOUND - no exchange '" + exchange + "' in vhost '/'");
            }
            boolean runs = fate != Fate.NACK && fate != Fate.DROP_BEFORE;
            Set<Queue> to = runs ? route(exchange, m.text("routing-key")) : Set.of();
            Object key = properties.headers().get(KEY);
            for (Queue queue : to) {
                postings.add(new Posting(
                        id,
                        key == null ? null : key.toString(),
                        queue.name,
                        properties,
                        command.body(),
                        System.nanoTime(),
                        true));
                queue.ready.add(new Stored(exchange, m.text("routing-key"), properties, command.body()));
            }
            if (to.isEmpty()) {
                postings.add(new Posting(
                        id,
                        key == null ? null : key.toString(),
                        null,
                        properties,
                        command.body(),
                        System.nanoTime(),
                        false));
            }
            if (runs && to.isEmpty() && m.flag("mandatory")) {
                link.send(
                        state.number,
                        Method.of(
                                MethodType.BASIC_RETURN,
                                AmqpException.NO_ROUTE,
                                "NO_ROUTE",
                                exchange,
                                m.text("routing-key")),
                        properties,
                        command.body());
            }
            to.forEach(FakeBroker.this::dispatch);
            if (fate == Fate.DROP_BEFORE || fate == Fate.DROP_AFTER) {
                ch.close();
            } else if (fate == Fate.CLOSE_CHANNEL) {
                link.closeChannel(
                        state.number,
                        new AmqpException(
                                AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - as the script wants it"),
                        MethodType.BASIC_ACK);
            } else if (fate == Fate.CLOSE_CONNECTION) {
                link.closeGracefully(AmqpException.CONNECTION_FORCED, "CONNECTION_FORCED - as the script wants it");
            } else if (tag > 0) {
                confirm(state, tag, fate);
            }
        }

        private void confirm(ChannelState state, long tag, Fate fate) {
            switch (fate) {
                case NACK -> link.send(state.number, Method.of(MethodType.BASIC_NACK, tag, false, false));
                case CONFIRM_LATE -> {
                    state.held.put(tag, fate);
                    loop.schedule(
                            () -> {
                                if (state.held.remove(tag) != null && link.isOpen(state.number)) {
                                    link.send(state.number, Method.of(MethodType.BASIC_ACK, tag, false));
                                }
                            },
                            lateMillis,
                            TimeUnit.MILLISECONDS);
                }
                case CONFIRM -> confirmHeld(state, tag);
                default -> state.held.put(tag, fate);
            }
        }

        private void confirmHeld(ChannelState state, long tag) {
            boolean multiple = state.held.containsValue(Fate.CONFIRM_WITH_NEXT);
            link.send(state.number, Method.of(MethodType.BASIC_ACK, tag, multiple));
            if (multiple) {
                state.held.clear();
            }
            state.held.entrySet().removeIf(held -> {
                boolean next = held.getValue() == Fate.CONFIRM_AFTER_NEXT;
                if (next) {
                    link.send(state.number, Method.of(MethodType.BASIC_ACK, held.getKey(), false));
                }
                return next;
            });
        }
    }
}
