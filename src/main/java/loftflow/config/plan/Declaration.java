package loftflow.config.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loftflow.config.schema.TableReader;

/**
 * What a program's people declare: its messages, its partners, its machine. Spans are in microseconds, sizes in bytes,
 * rates a second; 0 where none is known. Each part knows the table that it was read from, for findings.
 */
public record Declaration(
        TableReader at,
        String name,
        Machine machine,
        List<Front> fronts,
        Discovery discovery,
        Fleet fleet,
        List<Tenant> tenants,
        List<MessageClass> classes,
        List<Kind> kinds,
        List<Partner> partners,
        Undeliverable undeliverable,
        Memory memory,
        Amqp amqp) {
    /** Where partners close idle connections if nothing else is declared. */
    private static final long USUAL_IDLE = 10_000_000;

    /** How often a message of a class may take effect. */
    public enum Repeat {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** The machine that a relay gets. */
    public record Machine(
            TableReader at,
            double cores,
            long memory,
            int descriptors,
            long disk,
            String folder,
            String building,
            long stopTime) {}

    /** What programs speak at a door. */
    public enum Protocol {
        HTTP,
        AMQP,
        HTTP2
    }

    /**
     * A door for programs; what is for other protocols is set to its fallbacks. Null where no user is needed.
     *
     * @param http2 what is for HTTP/2 alone
     */
    public record Front(
            TableReader at,
            String listen,
            Protocol protocol,
            String name,
            String exchange,
            String user,
            String passwordFile,
            long heartbeat,
            int channels,
            long frame,
            long replyHold,
            Http2 http2) {
        /** True where programs speak AMQP there. */
        public boolean amqp() {
            return protocol == Protocol.AMQP;
        }

        /** True where programs speak HTTP/2 there. */
        public boolean isHttp2() {
            return protocol == Protocol.HTTP2;
        }
    }

    /** What is declared of a front that speaks HTTP/2; {@code age} is 0 for any, {@code streams} 0 where left out. */
    public record Http2(
            int streams, long headerList, long window, long idle, long age, long stall, double resets, long drain) {}

    /** What is declared of AMQP beside fronts and endpoints. */
    public record Amqp(List<Queue> queues, List<Mapping> mappings, List<Broker> brokers, Duplicates duplicates) {}

    /** A queue to take messages from; {@code replyQueue} may be null. */
    public record Queue(
            TableReader at,
            String name,
            String broker,
            String address,
            String queue,
            int prefetch,
            boolean autoAcknowledge,
            String ends,
            String replyQueue) {}

    /** How AMQP messages are read, by sources as text; null where there is none. */
    public record Mapping(
            TableReader at,
            String contentType,
            String id,
            String requestClass,
            String tenant,
            String key,
            String destination,
            String budget) {}

    /** How to log in; files and the name may be null. */
    public record Broker(
            TableReader at,
            String name,
            String virtualHost,
            String user,
            String passwordFile,
            long heartbeat,
            boolean tls,
            String trustFile,
            String tlsName) {}

    /** What is remembered of messages that were taken on over AMQP. */
    public record Duplicates(TableReader at, long span, int entries) {}

    /** Addresses in digits, each null where there is none. */
    public record Discovery(TableReader at, String agent, String notices) {}

    /** The relays that share partners. */
    public record Fleet(TableReader at, int relays, int number) {}

    /** What is kept of messages that could not be delivered; nothing where {@code keep} is false. */
    public record Undeliverable(
            TableReader at,
            boolean keep,
            long limit,
            long entries,
            double high,
            double low,
            boolean refuseWhenFull,
            long age,
            double pace,
            long pause,
            long clockMargin,
            long listenOn) {}

    /** What is remembered of partners over a restart; nothing where {@code keep} is false. */
    public record Memory(
            TableReader at,
            boolean keep,
            long limit,
            long rate,
            long halfLife,
            long settle,
            long margin,
            boolean sync) {}

    /** Whoever messages are sent for. */
    public record Tenant(TableReader at, String name, double rate) {}

    /** A class of messages; {@code to} is null where it goes to all kinds. */
    public record MessageClass(
            TableReader at,
            String name,
            Repeat repeat,
            long keyWindow,
            boolean keysByBuilding,
            long wanted,
            long deadline,
            double worth,
            double lateWorth,
            boolean inOrder,
            boolean secondCopies,
            double peakRate,
            double meanRate,
            long body,
            long largestBody,
            long shelfLife,
            List<String> to) {
        /** True where messages go to partners of that kind. */
        boolean goesTo(Partner partner) {
            return to == null || to.contains(partner.kind());
        }
    }

    /** A kind of partner. */
    public record Kind(TableReader at, String name, int batch, boolean routesApart, long idle) {}

    /** A destination. */
    public record Partner(
            TableReader at,
            String name,
            int number,
            String kind,
            double limit,
            long response,
            List<Endpoint> endpoints) {}

    /** Where a partner takes calls; {@code broker} is null where it takes them over HTTP. */
    public record Endpoint(
            TableReader at,
            String id,
            String address,
            String building,
            String broker,
            String exchange,
            String routingKey) {}

    /** Reads what is declared out of a file that has no finding yet. */
    public static Declaration of(TableReader top) {
        TableReader machine = top.table("machine");
        TableReader discovery = top.table("discovery");
        TableReader fleet = top.table("fleet");
        List<Partner> partners = new ArrayList<>();
        for (TableReader partner : top.tables("partner")) {
            partners.add(new Partner(
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
                fronts(top),
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
                undeliverable(top.table("undeliverable")),
                memory(top.table("memory")),
                amqp(top));
    }

    private static List<Front> fronts(TableReader top) {
        List<Front> fronts = new ArrayList<>();
        for (TableReader f : top.tables("front")) {
            fronts.add(new Front(
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
                        .map(m -> new Mapping(
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
                new Duplicates(d, d.whole("span"), (int) d.whole("entries")));
    }

    /** True where messages come in over AMQP. */
    boolean takesAmqp() {
        return !amqp.queues().isEmpty() || fronts.stream().anyMatch(Front::amqp);
    }

    /** The fronts that speak HTTP/2. */
    public List<Front> http2() {
        return fronts.stream().filter(Front::isHttp2).toList();
    }

    private static Undeliverable undeliverable(TableReader u) {
        return new Undeliverable(
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

    private static Memory memory(TableReader m) {
        return new Memory(
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
        Repeat repeat =
                switch (c.text("repeat")) {
                    case "once" -> Repeat.ONCE;
                    case "by-key" -> Repeat.BY_KEY;
                    default -> Repeat.REPEATABLE;
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
    private static List<Kind> kinds(TableReader top, List<Partner> partners) {
        Map<String, Kind> kinds = new HashMap<>();
        List<Kind> inOrder = new ArrayList<>();
        for (TableReader k : top.tables("kind")) {
            inOrder.add(new Kind(k, k.text("name"), (int) k.whole("batch"), k.flag("routes-apart"), k.whole("idle")));
            kinds.put(k.text("name"), inOrder.get(inOrder.size() - 1));
        }
        for (Partner partner : partners) {
            kinds.computeIfAbsent(partner.kind(), name -> {
                Kind kind = new Kind(partner.at(), name, 1, false, USUAL_IDLE);
                inOrder.add(kind);
                return kind;
            });
        }
        return inOrder;
    }

    Kind kindOf(Partner partner) {
        return kinds.stream()
                .filter(k -> k.name().equals(partner.kind()))
                .findFirst()
                .orElseThrow();
    }

    /** The partners that a class goes to. */
    List<Partner> partnersOf(MessageClass type) {
        return partners.stream().filter(type::goesTo).toList();
    }

    /** Messages a second of all classes at their peak. */
    double peakRate() {
        return classes.stream().mapToDouble(MessageClass::peakRate).sum();
    }

    /** The endpoints of all partners. */
    public List<Endpoint> endpoints() {
        return partners.stream().flatMap(p -> p.endpoints().stream()).toList();
    }

    /** The names of all kinds, including those with partners that only discovery knows. */
    List<String> kindNames() {
        return kinds.stream().map(Kind::name).toList();
    }
}
