package loftflow.config.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import loftflow.config.schema.TableReader;

/**
 * What an application file declares: messages, destinations, the machine. 0 stands for a figure that is not known. Each
 * part has the table that it was read from, for findings.
 */
public record Declaration(
        TableReader at,
        String name,
        Machine machine,
        List<Listener> listeners,
        Discovery discovery,
        Fleet fleet,
        List<Tenant> tenants,
        List<MessageClass> classes,
        List<DestinationKind> kinds,
        List<Destination> destinations,
        DeadLetters deadLetters,
        WarmStart warmStart,
        Amqp amqp) {
    /** After how long destinations close idle connections if nothing else is declared. */
    static final long DEFAULT_IDLE_TIMEOUT_MICROS = 10_000_000;

    /** How often a message of a class may take effect. */
    public enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENT_BY_KEY,
        NON_IDEMPOTENT
    }

    /** The machine that a relay gets. */
    public record Machine(
            TableReader table,
            double cores,
            long memoryBytes,
            int descriptors,
            long diskBytes,
            String folder,
            String zone,
            long stopTimeMicros) {}

    /** What client programs speak at a listener. */
    public enum Protocol {
        HTTP,
        AMQP,
        HTTP2
    }

    /**
     * A listener for client programs; settings of other protocols have their defaults. The user is null where none is
     * needed.
     *
     * @param http2 settings of HTTP/2 alone
     */
    public record Listener(
            TableReader table,
            String listen,
            Protocol protocol,
            String name,
            String exchange,
            String user,
            String passwordFile,
            long heartbeatMicros,
            int maxChannels,
            long maxFrameBytes,
            long replyRetentionMicros,
            Http2 http2) {
        /** True where clients speak AMQP. */
        public boolean isAmqp() {
            return protocol == Protocol.AMQP;
        }

        /** True where clients speak HTTP/2. */
        public boolean isHttp2() {
            return protocol == Protocol.HTTP2;
        }
    }

    /** Settings of a listener for HTTP/2; a maximum age of 0 is none, and 0 streams stand for the default. */
    public record Http2(
            int maxStreams,
            long maxHeaderListBytes,
            long windowBytes,
            long idleTimeoutMicros,
            long maxAgeMicros,
            long stallTimeoutMicros,
            double maxResetsPerSecond,
            long drainMicros) {}

    /** Settings of AMQP beside listeners and endpoints. */
    public record Amqp(
            List<Queue> queues, List<MessageMapping> mappings, List<Broker> brokers, Deduplication deduplication) {}

    /** A queue to take messages from; {@code replyQueue} may be null. */
    public record Queue(
            TableReader table,
            String name,
            String broker,
            String address,
            String queue,
            int prefetch,
            boolean autoAcknowledge,
            String completionReplies,
            String replyQueue) {}

    /** How AMQP messages are read, by sources as text; null where there is none. */
    public record MessageMapping(
            TableReader table,
            String contentType,
            String messageId,
            String requestClass,
            String tenant,
            String key,
            String destination,
            String timeBudget) {}

    /** How to log in; files and the name may be null. */
    public record Broker(
            TableReader table,
            String name,
            String virtualHost,
            String user,
            String passwordFile,
            long heartbeatMicros,
            boolean tls,
            String trustFile,
            String tlsName) {}

    /** The window in which ids of messages accepted over AMQP are known. */
    public record Deduplication(TableReader table, long windowMicros, int maxEntries) {}

    /** Addresses in digits, each null where there is none. */
    public record Discovery(TableReader table, String agentAddress, String completionAddress) {}

    /** The relays that share partners. */
    public record Fleet(TableReader table, int size, int relayIndex) {}

    /** The dead-letter store. */
    public record DeadLetters(
            TableReader table,
            boolean isEnabled,
            long limitBytes,
            long maxEntries,
            double fullShare,
            double resumeShare,
            boolean rejectsWhenFull,
            long maxClosedAgeMicros,
            double redrivesPerSecond,
            long redriveBackoffMicros,
            long clockMarginMicros,
            long lateAnswerMicros) {
        /** The disk space that is set aside for it; 0 where it is off. */
        long reservedBytes() {
            return isEnabled ? limitBytes : 0;
        }
    }

    /** What is stored of endpoints over a restart. */
    public record WarmStart(
            TableReader table,
            boolean isEnabled,
            long limitBytes,
            long writeBytesPerSecond,
            long trustHalfLifeMicros,
            long listConfirmationMicros,
            long retryAfterMarginMicros,
            boolean isSyncedToDisk) {
        /** The disk space that is set aside for it; 0 where it is off. */
        long reservedBytes() {
            return isEnabled ? limitBytes : 0;
        }
    }

    /** A tenant, for whom messages are sent. */
    public record Tenant(TableReader table, String name, double quotaPerSecond) {}

    /** A class of messages; the kinds of destinations are null where it goes to all. */
    public record MessageClass(
            TableReader table,
            String name,
            Idempotency idempotency,
            long keyWindowMicros,
            boolean isKeyScopedToZone,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            double lateWeight,
            boolean isOrdered,
            boolean isHedged,
            double peakRatePerSecond,
            double meanRatePerSecond,
            long bodyBytes,
            long maxBodyBytes,
            long redriveWindowMicros,
            List<String> destinationKinds) {
        /** True where messages of the class go to destinations of that kind. */
        public boolean goesTo(String kind) {
            return destinationKinds == null || destinationKinds.contains(kind);
        }
    }

    /** A kind of destination. */
    public record DestinationKind(
            TableReader table, String name, int maxBatchSize, boolean hasIndependentRoutes, long idleTimeoutMicros) {}

    /** A destination. */
    public record Destination(
            TableReader table,
            String name,
            int number,
            String kind,
            double limitPerSecond,
            long responseTimeMicros,
            List<Endpoint> endpoints) {}

    /** An endpoint of a destination; the broker is null where it accepts calls over HTTP. */
    public record Endpoint(
            TableReader table,
            String id,
            String address,
            String zone,
            String broker,
            String exchange,
            String routingKey) {}

    /** Reads what is declared out of a file that has no finding yet. */
    public static Declaration of(TableReader top) {
        TableReader machine = top.table("machine");
        TableReader discovery = top.table("discovery");
        TableReader fleet = top.table("fleet");
        List<Destination> partners = new ArrayList<>();
        for (TableReader partner : top.tables("partner")) {
            partners.add(new Destination(
                    partner,
                    partner.text("name"),
                    (int) partner.whole("number"),
                    partner.text("kind"),
                    partner.number("limit"),
                    partner.whole("response"),
                    partner.tables("endpoint").stream()
                            .map(e -> new Endpoint(
                                    e,
                                    e.text("id"),
                                    e.text("address"),
                                    e.has("building") ? e.text("building") : machine.text("building"),
                                    e.text("broker"),
                                    e.text("exchange"),
                                    e.text("routing-key")))
                            .toList()));
        }
        return new Declaration(
                top,
                top.text("name"),
                new Machine(
                        machine,
                        machine.number("cores"),
                        machine.whole("memory"),
                        (int) machine.whole("descriptors"),
                        machine.whole("disk"),
                        machine.text("folder"),
                        machine.text("building"),
                        machine.whole("stop-time")),
                listeners(top),
                new Discovery(
                        discovery,
                        discovery.text("agent"),
                        discovery.has("notices") ? discovery.text("notices") : discovery.text("agent")),
                new Fleet(fleet, (int) fleet.whole("relays"), (int) fleet.whole("number")),
                top.tables("tenant").stream()
                        .map(t -> new Tenant(t, t.text("name"), t.number("rate")))
                        .toList(),
                top.tables("class").stream().map(Declaration::messageClass).toList(),
                kinds(top, partners),
                partners,
                deadLetters(top.table("undeliverable")),
                warmStart(top.table("memory")),
                amqp(top));
    }

    private static List<Listener> listeners(TableReader top) {
        List<Listener> fronts = new ArrayList<>();
        for (TableReader f : top.tables("front")) {
            fronts.add(new Listener(
                    f,
                    f.text("listen"),
                    Protocol.valueOf(f.text("protocol").toUpperCase(Locale.ROOT)),
                    f.has("name") ? f.text("name") : "front-" + (fronts.size() + 1),
                    f.text("exchange"),
                    f.text("user"),
                    f.text("password-file"),
                    f.whole("heartbeat"),
                    (int) f.whole("channels"),
                    f.whole("frame"),
                    f.whole("reply-hold"),
                    new Http2(
                            (int) f.whole("streams"),
                            f.whole("header-list"),
                            f.whole("window"),
                            f.whole("idle"),
                            f.whole("age"),
                            f.whole("stall"),
                            f.number("resets"),
                            f.whole("drain"))));
        }
        return fronts;
    }

    private static Amqp amqp(TableReader top) {
        TableReader d = top.table("duplicates");
        return new Amqp(
                top.tables("queue").stream()
                        .map(q -> new Queue(
                                q,
                                q.text("name"),
                                q.text("broker"),
                                q.text("address"),
                                q.text("queue"),
                                (int) q.whole("prefetch"),
                                q.text("acknowledge").equals("auto"),
                                q.text("ends"),
                                q.text("reply-queue")))
                        .toList(),
                top.tables("mapping").stream()
                        .map(m -> new MessageMapping(
                                m,
                                m.text("content-type"),
                                m.text("id"),
                                m.text("class"),
                                m.text("tenant"),
                                m.text("key"),
                                m.text("destination"),
                                m.text("budget")))
                        .toList(),
                top.tables("broker").stream()
                        .map(b -> new Broker(
                                b,
                                b.text("name"),
                                b.text("virtual-host"),
                                b.text("user"),
                                b.text("password-file"),
                                b.whole("heartbeat"),
                                b.flag("tls"),
                                b.text("trust-file"),
                                b.text("tls-name")))
                        .toList(),
                new Deduplication(d, d.whole("span"), (int) d.whole("entries")));
    }

    /** True where messages come in over AMQP. */
    boolean takesAmqp() {
        return !amqp.queues().isEmpty() || listeners.stream().anyMatch(Listener::isAmqp);
    }

    /** The fronts that speak HTTP/2. */
    public List<Listener> http2() {
        return listeners.stream().filter(Listener::isHttp2).toList();
    }

    private static DeadLetters deadLetters(TableReader u) {
        return new DeadLetters(
                u,
                u.flag("keep"),
                u.whole("limit"),
                u.whole("entries"),
                u.number("high"),
                u.number("low"),
                u.text("when-full").equals("refuse"),
                u.whole("age"),
                u.number("pace"),
                u.whole("pause"),
                u.whole("clock-margin"),
                u.whole("listen-on"));
    }

    private static WarmStart warmStart(TableReader m) {
        return new WarmStart(
                m,
                m.flag("keep"),
                m.whole("limit"),
                m.whole("write-rate"),
                m.whole("half-life"),
                m.whole("settle"),
                m.whole("wait-margin"),
                m.flag("sync"));
    }

    private static MessageClass messageClass(TableReader c) {
        Idempotency repeat =
                switch (c.text("repeat")) {
                    case "once" -> Idempotency.NON_IDEMPOTENT;
                    case "by-key" -> Idempotency.IDEMPOTENT_BY_KEY;
                    default -> Idempotency.IDEMPOTENT;
                };
        return new MessageClass(
                c,
                c.text("name"),
                repeat,
                c.whole("key-window"),
                c.text("key-scope").equals("building"),
                c.whole("wanted"),
                c.whole("deadline"),
                c.number("worth"),
                c.number("late-worth"),
                c.flag("in-order"),
                c.flag("second-copies"),
                c.number("peak-rate"),
                c.number("mean-rate"),
                c.whole("body"),
                c.whole("largest-body"),
                c.whole("shelf-life"),
                c.names("to"));
    }

    /** The kinds that are declared, and those that partners or classes name without a table of their own. */
    private static List<DestinationKind> kinds(TableReader top, List<Destination> partners) {
        Map<String, DestinationKind> kinds = new HashMap<>();
        List<DestinationKind> inOrder = new ArrayList<>();
        for (TableReader k : top.tables("kind")) {
            inOrder.add(new DestinationKind(
                    k, k.text("name"), (int) k.whole("batch"), k.flag("routes-apart"), k.whole("idle")));
            kinds.put(k.text("name"), inOrder.get(inOrder.size() - 1));
        }
        for (Destination partner : partners) {
            kinds.computeIfAbsent(partner.kind(), name -> {
                DestinationKind kind =
                        new DestinationKind(partner.table(), name, 1, false, DEFAULT_IDLE_TIMEOUT_MICROS);
                inOrder.add(kind);
                return kind;
            });
        }
        return inOrder;
    }

    DestinationKind kindOf(Destination partner) {
        return kinds.stream()
                .filter(k -> k.name().equals(partner.kind()))
                .findFirst()
                .orElseThrow();
    }

    /** The partners that a class goes to. */
    List<Destination> partnersOf(MessageClass type) {
        return destinations.stream()
                .filter(destination -> type.goesTo(destination.kind()))
                .toList();
    }

    /** Messages a second of all classes at their peak. */
    double peakRate() {
        return classes.stream().mapToDouble(MessageClass::peakRatePerSecond).sum();
    }

    /** The class whose messages have the least time. */
    Optional<MessageClass> shortestDeadlineClass() {
        return classes.stream().min(Comparator.comparingLong(MessageClass::deadlineMicros));
    }

    /** The endpoints of all partners. */
    public List<Endpoint> endpoints() {
        return destinations.stream().flatMap(p -> p.endpoints().stream()).toList();
    }

    /** The names of all kinds, including those with partners that only discovery knows. */
    List<String> kindNames() {
        return kinds.stream().map(DestinationKind::name).toList();
    }
}
