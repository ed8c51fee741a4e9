package pipitstage.relay;

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
import pipitstage.amqp.link.ClientLink;
import pipitstage.amqp.link.ServerLink;
import pipitstage.amqp.mapping.Mapping;
import pipitstage.amqp.mapping.Source;
import pipitstage.config.Config;
import pipitstage.duplicates.Seen;
import pipitstage.duplicates.SeenFile;
import pipitstage.engine.Clock;
import pipitstage.engine.Ends;
import pipitstage.engine.Engine;
import pipitstage.engine.Message;
import pipitstage.engine.Partners;
import pipitstage.engine.Pulse;
import pipitstage.engine.WriteAhead;
import pipitstage.front.Front;
import pipitstage.front.amqp.AmqpServer;
import pipitstage.front.amqp.QueueConsumer;
import pipitstage.front.amqp.Replies;
import pipitstage.log.Log;
import pipitstage.partner.amqp.Broker;
import pipitstage.partner.amqp.BrokerClient;

/** All that is spoken of AMQP 0-9-1: brokers as partners, and the ways in. Not loaded where there is none of it. */
final class Amqp {
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
    private final Engine engine;
    private final Config config;
    private final Ends others;
    private final List<AmqpServer> servers = new ArrayList<>();
    private final List<QueueConsumer> consumers = new ArrayList<>();
    /** The fronts that tell ends, by the names that the journal knows them by. */
    private final Map<String, Replies> replies = new HashMap<>();

    Amqp(EventLoop loop, Clock clock, Pulse pulse, Engine engine, Config config, WriteAhead journal, Ends others)
            throws IOException {
        this.loop = loop;
        this.clock = clock;
        this.engine = engine;
        this.config = config;
        this.others = others;
        Config.Amqp amqp = config.amqp();
        boolean takes = !amqp.fronts().isEmpty() || !amqp.queues().isEmpty();
        Seen seen = takes ? seen(journal) : Seen.NOTHING;
        Mapping mapping = new Mapping(
                (amqp.mappings().isEmpty() ? List.of(USUAL) : amqp.mappings())
                        .stream().map(Amqp::rule).toList(),
                config.settings().classes());
        for (Config.AmqpFront f : amqp.fronts()) {
            AmqpServer server = new AmqpServer(
                    engine,
                    clock,
                    pulse,
                    mapping,
                    seen,
                    new AmqpServer.Options(
                            f.name(),
                            f.exchange(),
                            f.user(),
                            f.password(),
                            amqp.connections(),
                            new ServerLink.Offer("loftflow", f.channels(), f.frame(), f.heartbeat()),
                            f.replyHold()),
                    engine::noticeHeard,
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
                            new ClientLink.Broker(
                                    q.address(),
                                    login(q.login()),
                                    tls(q.login()),
                                    q.login().tlsName()),
                            q.queue(),
                            q.prefetch(),
                            q.autoAcknowledge(),
                            QueueConsumer.Tells.valueOf(q.ends().toUpperCase(Locale.ROOT)),
                            q.replyQueue(),
                            config.settings().limits().connectTimeout()),
                    engine::noticeHeard,
                    this::otherwise);
            consumers.add(consumer);
            replies.put(q.name(), consumer);
        }
    }

    /** Guards against a kill between the journal's record of a message and the memory's of its id. */
    private Seen seen(WriteAhead journal) throws IOException {
        SeenFile seen =
                new SeenFile(config.state(), config.amqp().span(), config.amqp().entries(), clock::micros);
        for (Message message : journal.open()) {
            if (!seen.contains(message.content().callId())) {
                seen.add(message.content().callId());
            }
        }
        return seen;
    }

    private static Mapping.Rule rule(Config.MappingRule r) {
        return new Mapping.Rule(
                r.contentType(),
                Source.of(r.id()),
                Source.of(r.requestClass()),
                sourceOrNull(r.tenant()),
                sourceOrNull(r.key()),
                Source.of(r.destination()),
                sourceOrNull(r.budget()));
    }

    private static Source sourceOrNull(String text) {
        return text == null ? null : Source.of(text);
    }

    private static ClientLink.Login login(Config.Login login) {
        return new ClientLink.Login(login.user(), login.password(), login.virtualHost(), login.heartbeat());
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
        if (message.end().kind() == Message.End.Kind.DELIVERED && config.notices() != null) {
            engine.noticeHeard(message);
        } else {
            others.send(message);
        }
    }

    /** Partners that are brokers beside the others. */
    Partners partners(Partners http) throws IOException {
        Map<String, Broker> brokers = new HashMap<>();
        for (Map.Entry<String, Config.BrokerRoute> route :
                config.amqp().routes().entrySet()) {
            Config.BrokerRoute r = route.getValue();
            brokers.put(
                    route.getKey(),
                    new Broker(
                            login(r.login()),
                            r.exchange(),
                            r.routingKey(),
                            tls(r.login()),
                            r.login().tlsName()));
        }
        return brokers.isEmpty()
                ? http
                : new RoutedPartners(
                        http,
                        new BrokerClient(loop, clock, config.settings().limits().connectTimeout(), brokers, engine));
    }

    /** Ends by replies where they were asked for, and as usual where not. */
    Ends ends() {
        return message -> {
            Message.Reply reply = message.content().reply();
            if (reply == null) {
                others.send(message);
            } else if (replies.containsKey(reply.via())) {
                replies.get(reply.via()).tell(message);
            } else {
                // Guards against a front that a message came by and that is not there any more.
                otherwise(message);
            }
        };
    }

    int listeners() {
        return servers.size();
    }

    List<Front> fronts() {
        List<Front> fronts = new ArrayList<>(servers);
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
