package loftflow.interop;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.amqp.mapping.ValueSource;
import loftflow.engine.DeliveryEngine;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.PublishOutcome;
import loftflow.fake.TemporaryFolder;
import loftflow.listener.amqp.AmqpListener;
import loftflow.listener.amqp.CompletionReplier;
import loftflow.listener.amqp.QueueConsumer;

/**
 * Seeded runs of a relay between AMQP on both sides, on loopback sockets: connections that end at drawn bytes, brokers
 * that
 * fail by a drawn script, kills and restarts. What took effect is counted by the broker apart from what the relay
 * believes.
 * As a command: {@code AmqpCampaign RUNS SEED [forgetful]}.
 */
public final class AmqpCampaign {
    /** What runs have come to; a fault names the run that it was first seen in. */
    record Tally(
            int runs,
            int messages,
            int effects,
            int kills,
            int connections,
            int publishes,
            int twice,
            int endless,
            int contradicted,
            int waitsBroken,
            List<String> faults) {
        Tally plus(Tally o) {
            List<String> all = new ArrayList<>(faults);
            all.addAll(o.faults);
            return new Tally(
                    runs + o.runs,
                    messages + o.messages,
                    effects + o.effects,
                    kills + o.kills,
                    connections + o.connections,
                    publishes + o.publishes,
                    twice + o.twice,
                    endless + o.endless,
                    contradicted + o.contradicted,
                    waitsBroken + o.waitsBroken,
                    all.subList(0, Math.min(9, all.size())));
        }
    }

    private static final Tally NONE = new Tally(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, List.of());
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int MESSAGES = 12;
    private static final long TROUBLE_MS = 500;
    private static final long PATIENCE_MS = 20_000;
    private static final int SIDE_BY_SIDE = 40;

    private AmqpCampaign() {}

    /** Runs so many, from a seed on. */
    public static void main(String[] args) throws Exception {
        long start = System.nanoTime();
        Tally all = run(Integer.parseInt(args[0]), Long.parseLong(args[1]), args.length > 2, SIDE_BY_SIDE);
        System.out.println(all);
        System.out.println(String.format(Locale.ROOT, "%.0f s", (System.nanoTime() - start) / 1e9));
        System.exit(0);
    }

    static Tally run(int runs, long seed, boolean forgetful, int sideBySide) throws Exception {
        return CampaignRuns.play(
                runs,
                seed,
                sideBySide,
                NONE,
                one -> new AmqpCampaign.Run(one, forgetful).play(),
                fault -> new Tally(1, 0, 0, 0, 0, 0, 0, 1, 0, 0, List.of(fault)),
                Tally::plus);
    }

    /** The front of a run: a listener that programs publish to, or a consumer of the broker's queue. */
    private static final class Way implements CampaignRelay.Way {
        private final int brokerPort;
        private final boolean listens;
        private final String host;
        private final int listenPort;
        private AmqpListener server;
        private QueueConsumer consumer;

        Way(int brokerPort, boolean listens, String host, int listenPort) {
            this.host = host;
            this.brokerPort = brokerPort;
            this.listens = listens;
            this.listenPort = listenPort;
        }

        @Override
        public CompletionReplier make(CampaignRelay relay) {
            MessageMapping mapping = new MessageMapping(
                    List.of(new MessageMapping.Rule(
                            null,
                            ValueSource.of("property:message-id"),
                            ValueSource.of("property:type"),
                            null,
                            ValueSource.of("header:Idempotency-Key"),
                            ValueSource.of("fixed:7"),
                            ValueSource.of("property:expiration"))),
                    CampaignRelay.settings().classes());
            DeliveryEngine engine = relay.engine();
            if (listens) {
                server = new AmqpListener(
                        engine,
                        relay.clock(),
                        relay.pulse(),
                        mapping,
                        relay.seen(),
                        new AmqpListener.Options(
                                "front",
                                "loftflow",
                                null,
                                null,
                                20,
                                new AmqpServerConnection.Limits("loftflow", 20, 8 << 10, 2),
                                600 * SECOND),
                        engine::onCompletionAcknowledged,
                        message -> {});
                return server;
            }
            consumer = new QueueConsumer(
                    relay.loop(),
                    engine,
                    relay.clock(),
                    relay.pulse(),
                    mapping,
                    relay.seen(),
                    new QueueConsumer.Options(
                            "front",
                            new AmqpClientConnection.Broker(
                                    new InetSocketAddress("127.0.0.1", brokerPort), CampaignRelay.LOGIN, null, null),
                            "in",
                            5,
                            false,
                            QueueConsumer.ReplyMode.ON_REQUEST,
                            null,
                            300 * MS),
                    engine::onCompletionAcknowledged,
                    message -> {});
            return consumer;
        }

        @Override
        public int start(CampaignRelay relay) {
            if (!listens) {
                relay.loop().execute(consumer::start);
                return 0;
            }
            return CampaignRelay.bound(host, address -> server.listen(relay.loop(), address), listenPort);
        }
    }

    /** A program that publishes to the relay's listener, again where it has heard nothing, and takes its ends. */
    private static final class Publisher implements AmqpClientConnection.Listener {
        private final EventLoop loop;
        private final String host;
        private volatile int port;
        private final Map<String, Properties> untaken = new LinkedHashMap<>();
        private final TreeMap<Long, String> out = new TreeMap<>();
        private final Map<String, Set<String>> ends = new ConcurrentHashMap<>();
        private final Set<String> taken = ConcurrentHashMap.newKeySet();
        private AmqpClientConnection link;
        private long published;
        private boolean ready;

        Publisher(EventLoop loop, String host, int port) {
            this.host = host;
            this.loop = loop;
            this.port = port;
        }

        void connect() {
            if (loop.isShuttingDown()) {
                return;
            }
            // While the relay is down another run may have its port.
            if (port == 0) {
                loop.schedule(this::connect, 10, TimeUnit.MILLISECONDS);
                return;
            }
            // A relay that is killed in this same process may leave a socket behind that nobody answers for.
            link = AmqpClientConnection.connect(
                    loop,
                    new AmqpClientConnection.Broker(
                            new InetSocketAddress(host, port),
                            new AmqpClientConnection.Login("a", "b", "/", 2),
                            null,
                            null),
                    1 << 16,
                    400 * MS,
                    this);
        }

        void drop() {
            if (link != null) {
                link.close("dropped");
            }
        }

        @Override
        public void onOpened() {
            link.openChannel(1);
            link.openChannel(2);
        }

        @Override
        public void onCommand(Command command) {
            Method m = command.method();
            switch (m.type()) {
                case CHANNEL_OPEN_OK -> link.send(
                        command.channel(),
                        command.channel() == 1
                                ? Method.of(MethodType.CONFIRM_SELECT, false)
                                : Method.of(
                                        MethodType.BASIC_CONSUME, "ends", "t", false, false, false, false, Map.of()));
                case CONFIRM_SELECT_OK -> {
                    link.cancelOpenTimeout();
                    ready = true;
                    published = 0;
                    List.copyOf(untaken.keySet()).forEach(this::publish);
                }
                case BASIC_ACK -> {
                    String id = out.remove(m.number("delivery-tag"));
                    untaken.remove(id);
                    taken.add(id);
                }
                case BASIC_NACK -> {
                    String id = out.remove(m.number("delivery-tag"));
                    loop.schedule(() -> publish(id), 50, TimeUnit.MILLISECONDS);
                }
                case BASIC_DELIVER -> {
                    ends.computeIfAbsent(
                                    command.properties().text(Property.CORRELATION_ID),
                                    i -> ConcurrentHashMap.newKeySet())
                            .add(command.properties().text(Property.TYPE));
                    link.send(2, Method.of(MethodType.BASIC_ACK, m.number("delivery-tag"), false));
                }
                default -> {}
            }
        }

        void add(String id, Properties properties) {
            untaken.put(id, properties);
            publish(id);
        }

        private void publish(String id) {
            if (ready && untaken.containsKey(id) && !out.containsValue(id) && link.isOpen()) {
                out.put(++published, id);
                link.send(
                        1,
                        Method.of(MethodType.BASIC_PUBLISH, "", "7", false, false),
                        untaken.get(id),
                        id.getBytes(StandardCharsets.UTF_8));
            }
        }

        @Override
        public void onPublishingChanged(String why) {}

        @Override
        public void onClosed(String reason) {
            link = null;
            ready = false;
            out.clear();
            loop.schedule(this::connect, 30, TimeUnit.MILLISECONDS);
        }
    }

    /** One run. */
    private static final class Run {
        private final long seed;
        private final boolean forgetful;
        private final Random random;
        private final boolean listens;
        private final Map<String, PublishOutcome> outcomes = new ConcurrentHashMap<>();
        /** Ends of messages that asked for no reply. */
        private final Map<String, Set<String>> others = new ConcurrentHashMap<>();

        private int kills;

        Run(long seed, boolean forgetful) {
            this.seed = seed;
            this.forgetful = forgetful;
            random = new Random(seed * 0x9E3779B97F4A7C15L);
            listens = seed % 3 == 0;
        }

        private PublishOutcome drawn() {
            return switch (random.nextInt(14)) {
                case 0 -> PublishOutcome.CONFIRM_WITH_NEXT;
                case 1 -> PublishOutcome.CONFIRM_AFTER_NEXT;
                case 2 -> PublishOutcome.CONFIRM_LATE;
                case 3 -> PublishOutcome.NO_CONFIRM;
                case 4 -> PublishOutcome.NACK;
                case 5 -> PublishOutcome.CLOSE_CHANNEL;
                case 6 -> PublishOutcome.CLOSE_CONNECTION;
                case 7 -> PublishOutcome.DROP_BEFORE;
                case 8 -> PublishOutcome.DROP_AFTER;
                case 9 -> PublishOutcome.NO_EXCHANGE;
                default -> PublishOutcome.CONFIRM;
            };
        }

        private Properties properties(String id, int i) {
            return Properties.NONE
                    .with(Property.MESSAGE_ID, id)
                    .with(Property.TYPE, i % 3 == 0 ? "keyed" : "unsafe")
                    .with(Property.REPLY_TO, i % 2 == 0 ? "ends" : null)
                    .with(Property.CORRELATION_ID, id)
                    .with(Property.EXPIRATION, Integer.toString(300 + random.nextInt(900)))
                    .with(Property.HEADERS, Map.<String, Object>of("Idempotency-Key", "key-" + id));
        }

        Tally play() throws Exception {
            MultiThreadIoEventLoopGroup programs = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            try (TemporaryFolder scratch = TemporaryFolder.named("amqp");
                    FakeBroker broker = new FakeBroker()) {
                broker.bind("orders", "direct", "k", "out");
                broker.declare("in");
                broker.declare("ends");
                broker.lateBy(20 + random.nextInt(400));
                // Drawn for an id as it first comes; a second publish of it meets a broker that is well, or another
                // fate.
                List<PublishOutcome> draws = new ArrayList<>();
                for (int i = 0; i < MESSAGES * 4; i++) {
                    draws.add(drawn());
                }
                AtomicInteger at = new AtomicInteger();
                broker.setOutcomes(id -> id != null && id.startsWith("m") && !id.endsWith(".end")
                        ? outcomes.merge(id, draws.get(at.getAndIncrement() % draws.size()), (a, b) -> b)
                        : PublishOutcome.CONFIRM);
                Random cuts = new Random(seed);
                boolean cutting = random.nextInt(3) > 0;
                if (cutting) {
                    broker.cut(new FakeBroker.Cut(
                            () -> cuts.nextInt(3) == 0 ? 400 + cuts.nextInt(3_000) : 0,
                            () -> cuts.nextInt(3) == 0 ? 400 + cuts.nextInt(3_000) : 0));
                }
                // A relay without the memory of duplicates runs a message twice only where the next process receives
                // it.
                int oneLostAckIn = forgetful ? 2 : 12;
                broker.loseAcks(() -> cuts.nextInt(oneLostAckIn) == 0);
                return play(broker, scratch.folder(), (EventLoop) programs.next());
            } finally {
                programs.shutdownGracefully(0, 1, TimeUnit.MILLISECONDS);
            }
        }

        private Tally play(FakeBroker broker, Path folder, EventLoop programs) throws Exception {
            CampaignRelay life = life(folder, broker, 0);
            Publisher publisher = new Publisher(programs, CampaignRelay.host(seed), life.port());
            Set<String> ids = new HashSet<>();
            try {
                if (listens) {
                    programs.execute(publisher::connect);
                }
                long start = System.nanoTime();
                int given = 0;
                while (System.nanoTime() - start < TROUBLE_MS * 1_000_000 || given < MESSAGES) {
                    if (given < MESSAGES) {
                        String id = "m" + given;
                        Properties properties = properties(id, given++);
                        ids.add(id);
                        if (listens) {
                            programs.execute(() -> publisher.add(id, properties));
                        } else {
                            broker.put("in", "7", properties, id.getBytes(StandardCharsets.UTF_8));
                        }
                    }
                    Thread.sleep(random.nextInt(40));
                    switch (random.nextInt(forgetful ? 12 : 24)) {
                        case 0, 1 -> {
                            int last = life.port();
                            publisher.port = 0;
                            // Whoever is connecting has read the port by now.
                            programs.submit(() -> {}).sync();
                            life.kill();
                            kills++;
                            life = life(folder, broker, last);
                            publisher.port = life.port();
                        }
                        case 2, 3 -> broker.drop();
                        case 4 -> broker.block(true);
                        case 5, 6 -> broker.block(false);
                        case 7 -> broker.freeze(10 + random.nextInt(60));
                        case 8, 9 -> programs.execute(publisher::drop);
                        default -> {}
                    }
                }
                broker.block(false);
                broker.cut(FakeBroker.Cut.NEVER);
                broker.loseAcks(() -> false);
                broker.setOutcome(PublishOutcome.CONFIRM);
                broker.drop();
                return check(broker, publisher, ids);
            } finally {
                life.kill();
            }
        }

        private CampaignRelay life(Path folder, FakeBroker broker, int listenPort) throws Exception {
            return new CampaignRelay(
                    folder,
                    broker.port(),
                    forgetful,
                    others,
                    new Way(broker.port(), listens, CampaignRelay.host(seed), listenPort));
        }

        private Map<String, Set<String>> ends(FakeBroker broker, Publisher publisher) {
            Map<String, Set<String>> ends = new HashMap<>(publisher.ends);
            ends.putAll(others);
            broker.ready("ends").forEach(end -> ends.computeIfAbsent(
                            end.getKey().text(Property.CORRELATION_ID), i -> new HashSet<>())
                    .add(end.getKey().text(Property.TYPE)));
            return ends;
        }

        private static boolean asks(String id) {
            return Integer.parseInt(id.substring(1)) % 2 == 0;
        }

        /** Waits until every message has its end, then holds what was told against what the broker counted. */
        private Tally check(FakeBroker broker, Publisher publisher, Set<String> ids) throws Exception {
            long giveUp = System.nanoTime() + PATIENCE_MS * 1_000_000;
            Set<String> missing = new HashSet<>(ids);
            Set<String> rejected = Set.of();
            while (!missing.isEmpty() && System.nanoTime() < giveUp) {
                Thread.sleep(20);
                rejected = new HashSet<>(broker.deadLetters());
                missing.removeAll(ends(broker, publisher).keySet());
                missing.removeAll(rejected);
                Map<String, Integer> effects = broker.effects();
                missing.removeIf(id -> !asks(id) && effects.containsKey(id));
            }
            boolean empties = listens || broker.size("in") == 0;
            while (!empties && System.nanoTime() < giveUp) {
                Thread.sleep(10);
                empties = broker.size("in") == 0;
            }
            List<String> faults = new ArrayList<>();
            int twice = 0;
            int contradicted = 0;
            int endless = missing.size() + (empties ? 0 : 1);
            if (endless > 0) {
                faults.add("run " + seed + ": no end for " + missing + ", in the queue " + broker.size("in"));
            }
            Map<String, Integer> effects = broker.effects();
            Map<String, Set<String>> ends = ends(broker, publisher);
            for (String id : ids) {
                int count = effects.getOrDefault(id, 0);
                boolean unsafe = Integer.parseInt(id.substring(1)) % 3 != 0;
                Set<String> told = ends.getOrDefault(id, Set.of());
                if (unsafe && count > 1) {
                    twice++;
                    faults.add("run " + seed + ": " + id + " took effect " + count + " times, " + told);
                }
                // One that asked for no reply and took effect as its client counts it has no end to be told, or is
                // dead.
                boolean wrong = told.size() > 1
                        || told.contains("done") && count == 0
                        // A keyed one may be handed in again under its key, whatever has become of it.
                        || unsafe && told.contains("bounced") && count > 0
                        || rejected.contains(id) && (count > 0 || !told.isEmpty());
                if (wrong && !forgetful) {
                    contradicted++;
                    faults.add("run " + seed + ": " + id + " took effect " + count + " times, and was told " + told
                            + (rejected.contains(id) ? " and rejected" : ""));
                }
            }
            if (broker.publishesWhileBlocked() > 0) {
                faults.add("run " + seed + ": waits broken " + broker.publishesWhileBlocked());
            }
            int publishes = (int) broker.postings().stream()
                    .filter(p -> p.id() != null && p.id().startsWith("m") && !p.id().endsWith(".end"))
                    .count();
            return new Tally(
                    1,
                    ids.size(),
                    effects.values().stream().mapToInt(Integer::intValue).sum(),
                    kills,
                    broker.connections(),
                    publishes,
                    twice,
                    endless,
                    contradicted,
                    broker.publishesWhileBlocked(),
                    faults);
        }
    }
}
