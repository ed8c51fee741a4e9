package loftflow.config.tool;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.config.Config;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.config.plan.Declaration;
import loftflow.config.plan.DerivedSettings;
import loftflow.config.plan.Planner;
import loftflow.engine.Endpoint;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.Tenant;
import loftflow.policy.api.Zone;

/** Runs a relay by a relay file: the same checks as the tool's, then what the relay is told. */
public final class RelayFile {
    /** What brokers of RabbitMQ's kind let in from their own machine where nobody has set anything. */
    private static final String USUAL_PASSWORD = "guest";

    private RelayFile() {}

    /**
     * A relay file as a source of configuration. What is wrong with it is told in the words of {@code config check}.
     */
    public static Config.Source source(Path file) {
        return new Config.Source() {
            @Override
            public Config read() throws Config.BadConfigException {
                return RelayFile.read(file);
            }

            @Override
            public byte[] bytes() throws IOException {
                return Files.readAllBytes(file);
            }
        };
    }

    private static Config read(Path file) throws Config.BadConfigException {
        try {
            String text = SourceFile.readText(file);
            CheckedFile checked = CheckedFile.of(file.toString(), text, LocalMachineInspector.of(System.getenv()));
            if (!checked.isClean()) {
                throw new Config.BadConfigException(checked.findings().stream()
                        .filter(Finding::isError)
                        .map(Finding::toString)
                        .collect(Collectors.joining("\n")));
            }
            if (checked.kind() != CheckedFile.Kind.RELAY) {
                throw new Config.BadConfigException(
                        file + ": is no relay file; loftflow config write makes one of an" + " application file");
            }
            return config(checked.declared(), checked.figures(), text.getBytes(StandardCharsets.UTF_8));
        } catch (SourceFile.UnreadableException e) {
            throw new Config.BadConfigException(e.getMessage());
        }
    }

    /**
     * What a relay is told, of a file that has no error.
     *
     * @throws Config.BadConfigException where a password can't be read
     */
    static Config config(Declaration declared, DerivedSettings figures, byte[] source)
            throws Config.BadConfigException {
        Declaration.Discovery discovery = declared.discovery();
        boolean whole = discovery.agentAddress() == null;
        List<Endpoint> known = targets(declared);
        return new Config(
                declared.listeners().stream()
                        .filter(f -> f.protocol() == Declaration.Protocol.HTTP)
                        .map(f -> Endpoint.address(f.listen()))
                        .toList(),
                addressOrNull(discovery.agentAddress()),
                addressOrNull(discovery.completionAddress()),
                Path.of(declared.machine().folder()),
                figures.maxClientConnections(),
                figures.maxUpstreamConnections(),
                figures.journalBytes(),
                settings(declared, figures),
                figures.roundPeriodMicros(),
                figures.upstreamIdleTimeoutMicros(),
                figures.areLoadReportsEnabled(),
                whole ? EndpointListKind.FULL : EndpointListKind.CACHED,
                whole ? 0 : -1,
                known,
                keeping(declared),
                amqp(declared, figures),
                http2(declared, figures),
                memory(declared),
                source);
    }

    private static Config.Amqp amqp(Declaration declared, DerivedSettings figures) throws Config.BadConfigException {
        Map<String, Config.Login> logins = logins(declared);
        Map<String, Config.BrokerRoute> routes = brokerRoutes(declared, logins);
        List<Config.AmqpListenerOptions> fronts = amqpListeners(declared);
        List<Config.AmqpConsumerOptions> queues = queues(declared, logins);
        if (routes.isEmpty() && fronts.isEmpty() && queues.isEmpty()) {
            return null;
        }
        return new Config.Amqp(
                routes,
                fronts,
                queues,
                mappings(declared),
                figures.maxClientConnections()
                        / Math.max(1, declared.listeners().size()),
                declared.amqp().deduplication().windowMicros(),
                declared.amqp().deduplication().maxEntries());
    }

    private static Map<String, Config.Login> logins(Declaration declared) throws Config.BadConfigException {
        Map<String, Config.Login> logins = new HashMap<>();
        for (Declaration.Broker broker : declared.amqp().brokers()) {
            logins.put(
                    broker.name(),
                    new Config.Login(
                            broker.user(),
                            broker.passwordFile() == null ? USUAL_PASSWORD : password(broker.passwordFile()),
                            broker.virtualHost(),
                            seconds(broker.heartbeatMicros()),
                            broker.tls(),
                            broker.trustFile() == null ? null : Path.of(broker.trustFile()),
                            broker.tlsName()));
        }
        return logins;
    }

    private static Map<String, Config.BrokerRoute> brokerRoutes(
            Declaration declared, Map<String, Config.Login> logins) {
        Map<String, Config.BrokerRoute> routes = new HashMap<>();
        for (Declaration.Endpoint endpoint : declared.endpoints()) {
            if (endpoint.broker() != null) {
                Config.Login login = logins.get(endpoint.broker());
                routes.put(endpoint.id(), new Config.BrokerRoute(login, endpoint.exchange(), endpoint.routingKey()));
            }
        }
        return routes;
    }

    private static List<Config.AmqpListenerOptions> amqpListeners(Declaration declared)
            throws Config.BadConfigException {
        List<Config.AmqpListenerOptions> listeners = new ArrayList<>();
        for (Declaration.Listener front : declared.listeners()) {
            if (front.isAmqp()) {
                listeners.add(new Config.AmqpListenerOptions(
                        front.name(),
                        Endpoint.address(front.listen()),
                        front.exchange(),
                        front.user(),
                        front.passwordFile() == null ? null : password(front.passwordFile()),
                        seconds(front.heartbeatMicros()),
                        front.maxChannels(),
                        (int) front.maxFrameBytes(),
                        front.replyRetentionMicros()));
            }
        }
        return listeners;
    }

    private static List<Config.AmqpConsumerOptions> queues(Declaration declared, Map<String, Config.Login> logins) {
        return declared.amqp().queues().stream()
                .map(queue -> new Config.AmqpConsumerOptions(
                        queue.name(),
                        Endpoint.address(queue.address()),
                        logins.get(queue.broker()),
                        queue.queue(),
                        queue.prefetch(),
                        queue.autoAcknowledge(),
                        queue.completionReplies(),
                        queue.replyQueue()))
                .toList();
    }

    private static List<Config.MappingRule> mappings(Declaration declared) {
        return declared.amqp().mappings().stream()
                .map(mapping -> new Config.MappingRule(
                        mapping.contentType(),
                        mapping.messageId(),
                        mapping.requestClass(),
                        mapping.tenant(),
                        mapping.key(),
                        mapping.destination(),
                        mapping.timeBudget()))
                .toList();
    }

    private static Config.Http2 http2(Declaration declared, DerivedSettings figures) {
        List<Config.Http2ListenerOptions> fronts = declared.http2().stream()
                .map(f -> new Config.Http2ListenerOptions(
                        Endpoint.address(f.listen()),
                        Planner.streams(f.http2(), figures),
                        (int) f.http2().maxHeaderListBytes(),
                        (int) f.http2().windowBytes(),
                        f.http2().idleTimeoutMicros(),
                        f.http2().maxAgeMicros(),
                        f.http2().stallTimeoutMicros(),
                        f.http2().maxResetsPerSecond(),
                        f.http2().drainMicros()))
                .toList();
        return fronts.isEmpty()
                ? null
                : new Config.Http2(fronts, figures.maxHttp2Streams(), figures.http2BodyBufferBytes());
    }

    private static int seconds(long micros) {
        return (int) Math.max(1, micros / 1_000_000);
    }

    private static String password(String file) throws Config.BadConfigException {
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new Config.BadConfigException(file + ": can't be read: " + e.getMessage());
        }
    }

    private static Config.DeadLetterOptions keeping(Declaration declared) {
        Declaration.DeadLetters u = declared.deadLetters();
        return !u.isEnabled()
                ? null
                : new Config.DeadLetterOptions(
                        u.limitBytes(),
                        u.maxEntries(),
                        u.fullShare(),
                        u.resumeShare(),
                        u.rejectsWhenFull(),
                        u.maxClosedAgeMicros(),
                        u.redrivesPerSecond(),
                        u.redriveBackoffMicros(),
                        u.clockMarginMicros(),
                        u.lateAnswerMicros(),
                        declared.classes().stream()
                                .collect(Collectors.toMap(
                                        Declaration.MessageClass::name,
                                        Declaration.MessageClass::redriveWindowMicros)));
    }

    private static Config.WarmStartConfig memory(Declaration declared) {
        Declaration.WarmStart m = declared.warmStart();
        return !m.isEnabled()
                ? null
                : new Config.WarmStartConfig(
                        declared.name() + "#" + declared.fleet().relayIndex(),
                        m.limitBytes(),
                        m.writeBytesPerSecond(),
                        m.trustHalfLifeMicros(),
                        m.listConfirmationMicros(),
                        m.retryAfterMarginMicros(),
                        m.isSyncedToDisk());
    }

    private static InetSocketAddress addressOrNull(String address) {
        return address == null ? null : Endpoint.address(address);
    }

    private static List<Endpoint> targets(Declaration declared) {
        List<Endpoint> targets = new ArrayList<>();
        for (Declaration.Destination partner : declared.destinations()) {
            for (Declaration.Endpoint endpoint : partner.endpoints()) {
                targets.add(new Endpoint(
                        new EndpointEntry(
                                endpoint.id(),
                                partner.number(),
                                partner.kind(),
                                endpoint.zone(),
                                Availability.LISTED,
                                partner.limitPerSecond()),
                        Endpoint.address(endpoint.address())));
            }
        }
        return targets;
    }

    private static PolicySettings settings(Declaration declared, DerivedSettings f) {
        Set<String> buildings = new LinkedHashSet<>();
        buildings.add(declared.machine().zone());
        declared.destinations().forEach(p -> p.endpoints().forEach(e -> buildings.add(e.zone())));
        // A limit of 0 is one that nobody knows: a hint would then be worse than none.
        boolean limits = declared.destinations().stream().allMatch(p -> p.limitPerSecond() > 0);
        return new PolicySettings(
                seed(declared),
                declared.fleet().relayIndex(),
                declared.fleet().size(),
                declared.machine().zone(),
                declared.classes().stream().map(RelayFile::requestClass).toList(),
                declared.tenants().stream()
                        .map(t -> new Tenant(t.name(), t.quotaPerSecond()))
                        .toList(),
                declared.kinds().stream()
                        .map(k -> new DestinationKind(k.name(), k.hasIndependentRoutes(), k.maxBatchSize()))
                        .toList(),
                buildings.stream().map(b -> new Zone(b, 0)).toList(),
                new RelayLimits(
                        f.maxConcurrentCalls(),
                        f.maxOpenMessages(),
                        f.maxAttempts(),
                        f.isCancellationEnabled(),
                        f.areProbesEnabled(),
                        false,
                        f.areHedgedAttemptsEnabled(),
                        true,
                        f.connectTimeoutMicros()),
                new ServiceRules(
                        0,
                        f.drainGraceMicros(),
                        f.overloadMultiple(),
                        f.overloadWindowMicros(),
                        f.coldCapacityShare(),
                        f.warmUpMicros(),
                        0,
                        f.orderingPauseMicros()),
                1,
                false,
                false,
                limits ? RateHint.NOMINAL : RateHint.NONE,
                0);
    }

    /** New with each start, so that relays that start together don't act in step. */
    private static long seed(Declaration declared) {
        return System.nanoTime() * 31 + declared.fleet().relayIndex();
    }

    /** The policy's term for what an application file declares of a class. */
    public static Idempotency idempotency(Declaration.Idempotency repeat) {
        return switch (repeat) {
            case IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case IDEMPOTENT_BY_KEY -> Idempotency.IDEMPOTENT_BY_KEY;
            case NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static RequestClass requestClass(Declaration.MessageClass c) {
        return new RequestClass(
                c.name(),
                idempotency(c.idempotency()),
                c.isKeyScopedToZone() ? KeyScope.ZONE : KeyScope.ALL,
                c.keyWindowMicros(),
                c.latencyObjectiveMicros(),
                c.deadlineMicros(),
                c.priorityWeight(),
                c.lateWeight(),
                c.isOrdered(),
                c.isHedged());
    }
}
