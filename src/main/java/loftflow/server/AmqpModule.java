package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.amqp.mapping.ValueSource;
import loftflow.config.Config;
import loftflow.deduplication.DeduplicationFile;
import loftflow.deduplication.Deduplicator;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.engine.WriteAheadLog;
import loftflow.listener.Listener;
import loftflow.listener.amqp.AmqpListener;
import loftflow.listener.amqp.CompletionReplier;
import loftflow.listener.amqp.QueueConsumer;
import loftflow.log.Log;
import loftflow.upstream.amqp.BrokerClient;
import loftflow.upstream.amqp.BrokerDestination;

/** All that is spoken of AMQP 0-9-1: brokers as partners, and the ways in. Not loaded where there is none of it. */
final class AmqpModule {
    private static final Config.MappingRule USUAL = new Config.MappingRule(
            null,
            "property:message-id",
            "property:type",
            null,
            "header:Idempotency-Key",
            "routing-key",
            "property:expiration");

    private final EventLoop loop;
    private final Clock clock;
    private final DeliveryEngine engine;
    private final Config config;
    private final CompletionNotifier others;
    private final List<AmqpListener> servers = new ArrayList<>();
    private final List<QueueConsumer> consumers = new ArrayList<>();
    /** The fronts that tell ends, by the names that the journal knows them by. */
    private final Map<String, CompletionReplier> replies = new HashMap<>();

    AmqpModule(
            EventLoop loop,
            Clock clock,
            EventLoopLag pulse,
            DeliveryEngine engine,
            Config config,
            WriteAheadLog journal,
            CompletionNotifier others)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.config = config;
        this.others = others;
        Config.Amqp amqp = config.amqp();
        boolean takes = !amqp.fronts().isEmpty() || !amqp.queues().isEmpty();
        Deduplicator seen = takes ? seen(journal) : Deduplicator.NOTHING;
        MessageMapping mapping = new MessageMapping(
                (amqp.mappings().isEmpty() ? List.of(USUAL) : amqp.mappings())
                        .stream().map(AmqpModule::rule).toList(),
                config.settings().classes());
        for (Config.AmqpFront f : amqp.fronts()) {
            AmqpListener server = new AmqpListener(
                    engine,
                    clock,
                    pulse,
                    mapping,
                    seen,
                    new AmqpListener.Options(
                            f.name(),
                            f.exchange(),
                            f.user(),
                            f.password(),
                            amqp.connections(),
                            new AmqpServerConnection.Offer("loftflow", f.channels(), f.frame(), f.heartbeat()),
                            f.replyHold()),
                    engine::onCompletionAcknowledged,
                    this::otherwise);
            servers.add(server);
            replies.put(f.name(), server);
        }
        for (Config.AmqpQueue q : amqp.queues()) {
            QueueConsumer consumer = new QueueConsumer(
                    loop,
                    engine,
                    clock,
                    pulse,
                    mapping,
                    seen,
                    new QueueConsumer.Options(
                            q.name(),
                            new AmqpClientConnection.Broker(
                                    q.address(),
                                    login(q.login()),
                                    tls(q.login()),
                                    q.login().tlsName()),
                            q.queue(),
                            q.prefetch(),
                            q.autoAcknowledge(),
                            QueueConsumer.Tells.valueOf(q.ends().toUpperCase(Locale.ROOT)),
                            q.replyQueue(),
                            config.settings().limits().connectTimeoutMicros()),
                    engine::onCompletionAcknowledged,
                    this::otherwise);
            consumers.add(consumer);
            replies.put(q.name(), consumer);
        }
    }

    /** Guards against a kill between the journal's record of a message and the memory's of its id. */
    private Deduplicator seen(WriteAheadLog journal) throws IOException {
        DeduplicationFile seen = new DeduplicationFile(
                config.state(), config.amqp().span(), config.amqp().entries(), clock::micros);
        for (Message message : journal.openMessages()) {
            if (!seen.contains(message.content().messageId())) {
                seen.add(message.content().messageId());
            }
        }
        return seen;
    }

    private static MessageMapping.Rule rule(Config.MappingRule r) {
        return new MessageMapping.Rule(
                r.contentType(),
                ValueSource.of(r.id()),
                ValueSource.of(r.requestClass()),
                sourceOrNull(r.tenant()),
                sourceOrNull(r.key()),
                ValueSource.of(r.destination()),
                sourceOrNull(r.budget()));
    }

    private static ValueSource sourceOrNull(String text) {
        return text == null ? null : ValueSource.of(text);
    }

    private static AmqpClientConnection.Login login(Config.Login login) {
        return new AmqpClientConnection.Login(login.user(), login.password(), login.virtualHost(), login.heartbeat());
    }

    private static SslContext tls(Config.Login login) throws IOException {
        if (!login.tls()) {
            return null;
        }
        SslContextBuilder builder = SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
        if (login.trust() != null) {
            try {
                builder.trustManager(login.trust().toFile());
            } catch (IllegalArgumentException e) {
                throw new IOException(login.trust() + " holds no certificates: " + e.getMessage(), e);
            }
        }
        return builder.build();
    }

    /** Where ends go whose program can't be told: that a message is delivered is then told to nobody but a file. */
    private void otherwise(Message message) {
        if (message.completion().kind() == Message.Completion.Kind.DELIVERED && config.notices() != null) {
            engine.onCompletionAcknowledged(message);
        } else {
            others.notifyCompletion(message);
        }
    }

    /** Partners that are brokers beside the others. */
    UpstreamClient partners(UpstreamClient http) throws IOException {
        Map<String, BrokerDestination> brokers = new HashMap<>();
        for (Map.Entry<String, Config.BrokerRoute> route :
                config.amqp().routes().entrySet()) {
            Config.BrokerRoute r = route.getValue();
            brokers.put(
                    route.getKey(),
                    new BrokerDestination(
                            login(r.login()),
                            r.exchange(),
                            r.routingKey(),
                            tls(r.login()),
                            r.login().tlsName()));
        }
        return brokers.isEmpty()
                ? http
                : new RoutingUpstreamClient(
                        http,
                        new BrokerClient(
                                loop, clock, config.settings().limits().connectTimeoutMicros(), brokers, engine));
    }

    /** Ends by replies where they were asked for, and as usual where not. */
    CompletionNotifier ends() {
        return message -> {
            Message.Reply reply = message.content().reply();
            if (reply == null) {
                others.notifyCompletion(message);
            } else if (replies.containsKey(reply.listener())) {
                replies.get(reply.listener()).tell(message);
            } else {
                // Guards against a front that a message came by and that is not there any more.
                otherwise(message);
            }
        };
    }

    int listeners() {
        return servers.size();
    }

    List<Listener> fronts() {
        List<Listener> fronts = new ArrayList<>(servers);
        fronts.addAll(consumers);
        return fronts;
    }

    /** Listens, and begins to consume. */
    void start() throws InterruptedException {
        for (int i = 0; i < servers.size(); i++) {
            Log.line("serving AMQP on "
                    + servers.get(i)
                            .listen(loop, config.amqp().fronts().get(i).listen())
                            .sync()
                            .channel()
                            .localAddress());
        }
        consumers.forEach(consumer -> loop.execute(consumer::start));
    }
}
