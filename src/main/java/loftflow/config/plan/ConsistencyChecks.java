package loftflow.config.plan;

import static loftflow.config.plan.Planner.text;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.MessageClass;
import loftflow.config.plan.Declaration.Partner;
import loftflow.config.plan.Declaration.Repeat;
import loftflow.config.schema.Addresses;
import loftflow.config.schema.TableReader;

/**
 * Contradictions between settings that are each well formed. Errors are what no relay could keep its promises with;
 * warnings are what works less well than staff may think. Free of I/O.
 */
public final class ConsistencyChecks {
    private static final long LARGEST_PORTION = 64 << 10;
    /** The relay gives its last answers by then after SIGTERM. */
    private static final long OWN_STOP = 3_200_000;

    private static final List<String> AMQP_FRONT =
            List.of("name", "exchange", "user", "password-file", "heartbeat", "channels", "frame", "reply-hold");
    private static final List<String> HTTP2_FRONT =
            List.of("streams", "header-list", "window", "idle", "age", "stall", "resets", "drain");

    private final Declaration declared;
    private final DerivedSettings figures;
    private final MachineInspector surroundings;
    private final List<Finding> findings = new ArrayList<>();

    private ConsistencyChecks(Declaration declared, DerivedSettings figures, MachineInspector surroundings) {
        this.declared = declared;
        this.figures = figures;
        this.surroundings = surroundings;
    }

    /** Everything that contradicts something else, in no special order. */
    public static List<Finding> of(Declaration declared, DerivedSettings figures, MachineInspector surroundings) {
        ConsistencyChecks checks = new ConsistencyChecks(declared, figures, surroundings);
        checks.names();
        checks.classes();
        checks.partners();
        checks.rates();
        checks.addresses();
        checks.capacity();
        checks.machine();
        checks.undeliverable();
        checks.memory();
        checks.amqp();
        checks.http2();
        return checks.findings;
    }

    private void error(TableReader at, String key, String reason) {
        findings.add(at.at(key).error(reason));
    }

    private void warn(TableReader at, String key, String reason) {
        findings.add(at.at(key).warning(reason));
    }

    private void error(String key, String reason) {
        findings.add(figures.at().apply(key).error(reason));
    }

    private static String span(long micros) {
        return Units.ofSpan(micros);
    }

    // ---- what is named twice, not at all, or nowhere

    private void names() {
        if (declared.fronts().isEmpty() && declared.amqp().queues().isEmpty()) {
            findings.add(declared.at().at("front").error("no front: nobody could hand a message in; add a [[front]]"));
        }
        if (declared.classes().isEmpty()) {
            findings.add(declared.at().at("class").error("no class of messages: add a [[class]]"));
        }
        if (declared.partners().isEmpty() && declared.discovery().agent() == null) {
            findings.add(declared.at()
                    .at("partner")
                    .error("no partner and no discovery.agent: there is nobody to"
                            + " call; add a [[partner]] or the agent"));
        }
        unique(declared.classes(), c -> c.name(), c -> c.at(), "name");
        unique(declared.tenants(), t -> t.name(), t -> t.at(), "name");
        unique(declared.partners(), p -> p.name(), p -> p.at(), "name");
        unique(declared.partners(), p -> Integer.toString(p.number()), p -> p.at(), "number");
        unique(declared.kinds(), k -> k.name(), k -> k.at(), "name");
        unique(declared.endpoints(), e -> e.id(), e -> e.at(), "id");
        // One broker may be the way to many: by other exchanges and routing keys it is another endpoint.
        unique(
                declared.endpoints(),
                e -> e.broker() == null
                        ? e.address()
                        : e.address() + " with exchange \"" + e.exchange() + "\" and routing key \"" + e.routingKey()
                                + "\"",
                e -> e.at(),
                "address");
        unique(declared.amqp().brokers(), b -> b.name(), b -> b.at(), "name");
        unique(declared.amqp().queues(), q -> q.name(), q -> q.at(), "name");
        unique(declared.fronts().stream().filter(Declaration.Front::amqp).toList(), f -> f.name(), f -> f.at(), "name");
        if (declared.fleet().number() >= declared.fleet().relays()) {
            error(
                    declared.fleet().at(),
                    "number",
                    declared.fleet().number() + " is beyond the last relay: with " + "fleet.relays = "
                            + declared.fleet().relays() + " they are numbered from 0 to "
                            + (declared.fleet().relays() - 1));
        }
        tenants();
        Set<String> used = new HashSet<>();
        declared.partners().forEach(p -> used.add(p.kind()));
        for (Declaration.Kind kind : declared.kinds()) {
            if (!used.contains(kind.name()) && declared.discovery().agent() == null) {
                warn(kind.at(), "name", "no partner is of kind " + kind.name());
            }
        }
    }

    /** Tenants' shares that fall short of what comes at the busiest make part of it count as beyond a share. */
    private void tenants() {
        double shares = declared.tenants().stream()
                .mapToDouble(Declaration.Tenant::rate)
                .sum();
        double peak =
                declared.classes().stream().mapToDouble(MessageClass::peakRate).sum();
        boolean all =
                !declared.tenants().isEmpty() && declared.tenants().stream().allMatch(t -> t.rate() > 0);
        if (all && shares < peak) {
            warn(
                    declared.tenants().get(0).at(),
                    "rate",
                    "all tenants together have " + Units.ofRate(shares) + ", and the classes'" + " peak-rate add up to "
                            + Units.ofRate(peak) + ": what is beyond a share counts for less");
        }
    }

    private <T> void unique(List<T> parts, Function<T, String> name, Function<T, TableReader> at, String key) {
        Map<String, TableReader> seen = new HashMap<>();
        for (T part : parts) {
            TableReader first = seen.putIfAbsent(name.apply(part), at.apply(part));
            if (first != null) {
                error(
                        at.apply(part),
                        key,
                        "\"" + name.apply(part) + "\" stands in line "
                                + first.at(key).line() + " already; each needs its own");
            }
        }
    }

    // ---- one class of messages

    private void classes() {
        for (MessageClass type : declared.classes()) {
            if (type.wanted() >= type.deadline()) {
                error(
                        type.at(),
                        "wanted",
                        span(type.wanted()) + " is no shorter than deadline = " + span(type.deadline())
                                + "; make it shorter");
            }
            if (type.meanRate() > type.peakRate()) {
                error(
                        type.at(),
                        "mean-rate",
                        Units.ofRate(type.meanRate()) + " is above peak-rate = " + Units.ofRate(type.peakRate())
                                + "; raise the peak");
            }
            if (type.peakRate() <= 0) {
                error(type.at(), "peak-rate", "0/s means that no message comes; leave the class out or give its rate");
            }
            if (type.body() > type.largestBody()) {
                error(
                        type.at(),
                        "body",
                        Units.ofSize(type.body()) + " is larger than largest-body = " + Units.ofSize(type.largestBody())
                                + "; raise that");
            }
            repeats(type);
            kindsOf(type);
            times(type);
        }
    }

    private void repeats(MessageClass type) {
        boolean keyed = type.repeat() == Repeat.BY_KEY;
        if (keyed && type.keyWindow() == 0) {
            error(type.at(), "key-window", "is missing: repeat = by-key needs how long a partner drops a repeated key");
        }
        if (!keyed && type.at().has("key-window")) {
            error(
                    type.at(),
                    "key-window",
                    "means nothing with repeat = " + type.at().text("repeat") + "; leave it out or say by-key");
        }
        if (!keyed && type.keysByBuilding()) {
            error(
                    type.at(),
                    "key-scope",
                    "means nothing with repeat = " + type.at().text("repeat") + "; leave it out or say by-key");
        }
        if (type.repeat() == Repeat.ONCE && type.secondCopies()) {
            error(
                    type.at(),
                    "second-copies",
                    "repeat = once forbids them: the copy could take effect too; leave them" + " out");
        }
        if (type.inOrder() && type.secondCopies()) {
            error(type.at(), "second-copies", "in-order = true forbids them: messages of a key go out one at a time");
        }
        if (keyed && type.keysByBuilding()) {
            for (Partner partner : declared.partnersOf(type)) {
                Set<String> buildings = partner.endpoints().stream()
                        .map(Declaration.Endpoint::building)
                        .collect(Collectors.toCollection(LinkedHashSet::new));
                if (buildings.size() > 1) {
                    warn(
                            type.at(),
                            "key-scope",
                            "partner " + partner.name() + " stands in " + buildings.size()
                                    + " buildings (" + String.join(", ", buildings)
                                    + ") and keys are known in one alone: a"
                                    + " message that may have run is not sent again in another");
                }
            }
        }
        if (type.inOrder()) {
            for (Declaration.Kind kind : declared.kinds()) {
                if (kind.batch() > 1 && (type.to() == null || type.to().contains(kind.name()))) {
                    error(
                            type.at(),
                            "in-order",
                            "kind " + kind.name() + " takes batch = " + kind.batch()
                                    + " messages in a call, which keep no order; set its batch to 1 or in-order to false");
                }
            }
        }
    }

    private void kindsOf(MessageClass type) {
        if (type.to() == null) {
            return;
        }
        if (type.to().isEmpty()) {
            error(type.at(), "to", "is empty: the class could go nowhere; leave it out for all kinds");
        }
        List<String> known = Planner.kindNames(declared);
        for (String kind : type.to()) {
            if (!known.contains(kind) && declared.discovery().agent() == null) {
                error(type.at(), "to", "no partner is of kind " + kind + "; there are " + String.join(", ", known));
            }
        }
    }

    /** What the first answer takes, and with a second try where the class allows one. */
    private long needed(MessageClass type, Partner partner) {
        long once = figures.connectTimeout() + partner.response();
        return type.repeat() == Repeat.ONCE ? once : 2 * once;
    }

    private void times(MessageClass type) {
        List<Partner> partners = declared.partnersOf(type);
        String tries = type.repeat() == Repeat.ONCE ? "one try" : "a try and one more";
        List<Partner> slow =
                partners.stream().filter(p -> needed(type, p) > type.deadline()).toList();
        if (!slow.isEmpty()) {
            Partner quickest = slow.stream()
                    .min(Comparator.comparingLong(p -> needed(type, p)))
                    .orElseThrow();
            long need = needed(type, quickest);
            if (slow.size() == partners.size()) {
                error(
                        type.at(),
                        "deadline",
                        span(type.deadline()) + " is shorter than any partner can answer in: even "
                                + quickest.name() + " needs " + span(need) + " (connecting "
                                + span(figures.connectTimeout())
                                + ", response " + span(quickest.response()) + ", " + tries + "); raise it to "
                                + span(need));
            } else {
                warn(
                        type.at(),
                        "deadline",
                        span(type.deadline()) + " is too short for " + slow.size() + " of "
                                + partners.size() + " partners ("
                                + slow.stream().map(Partner::name).collect(Collectors.joining(", ")) + "): "
                                + quickest.name() + " needs " + span(need) + " for " + tries);
            }
        }
        if (type.repeat() == Repeat.BY_KEY && type.keyWindow() > 0) {
            long quickest =
                    partners.stream().mapToLong(p -> needed(type, p)).min().orElse(0);
            if (type.keyWindow() < quickest) {
                error(
                        type.at(),
                        "key-window",
                        span(type.keyWindow()) + " is shorter than the span of one retry, " + span(quickest)
                                + ": none could ever be made; raise it or say repeat = once");
            }
        }
    }

    // ---- partners

    private void partners() {
        boolean discovered = declared.discovery().agent() != null;
        for (Partner partner : declared.partners()) {
            if (partner.endpoints().isEmpty() && !discovered) {
                error(
                        partner.at(),
                        "endpoint",
                        "none, and there is no discovery.agent to tell one; add a" + " [[partner.endpoint]]");
            }
            if (declared.classes().stream().noneMatch(c -> c.goesTo(partner))) {
                warn(partner.at(), "kind", "no class goes to kind " + partner.kind());
            }
            if (partner.at().has("limit") && partner.limit() <= 0) {
                error(partner.at(), "limit", "0/s means that the partner takes nothing; leave it out if it is unknown");
            }
        }
        for (Declaration.Kind kind : declared.kinds()) {
            if (figures.idle() > kind.idle()) {
                error(
                        "calls.idle",
                        span(figures.idle()) + " is longer than kind " + kind.name() + " keeps idle" + " connections ("
                                + span(kind.idle()) + "): calls on them would end as resets; lower it");
            }
            long largest = declared.classes().stream()
                    .filter(c -> c.to() == null || c.to().contains(kind.name()))
                    .mapToLong(MessageClass::body)
                    .max()
                    .orElse(0);
            if (kind.batch() > 1 && largest * 4 / 3 > LARGEST_PORTION) {
                warn(
                        kind.at(),
                        "batch",
                        kind.batch() + " messages of " + Units.ofSize(largest) + " don't fit into one"
                                + " call of 64KiB, so that each travels alone");
            }
        }
    }

    /**
     * Whether partners' limits can carry what is declared: for every set of kinds that some class is bound to, the
     * classes bound within it against the limits within it.
     */
    private void rates() {
        Set<Set<String>> sets = new LinkedHashSet<>();
        Set<String> all = new LinkedHashSet<>(Planner.kindNames(declared));
        for (MessageClass type : declared.classes()) {
            sets.add(type.to() == null ? all : new LinkedHashSet<>(type.to()));
        }
        for (Set<String> kinds : sets) {
            List<Partner> partners = declared.partners().stream()
                    .filter(p -> kinds.contains(p.kind()))
                    .toList();
            List<MessageClass> bound = declared.classes().stream()
                    .filter(c -> kinds.containsAll(c.to() == null ? all : c.to()))
                    .toList();
            if (partners.isEmpty() || partners.stream().anyMatch(p -> p.limit() <= 0)) {
                continue;
            }
            double limit =
                    partners.stream().mapToDouble(p -> p.limit() * batch(p)).sum();
            double rate = bound.stream().mapToDouble(MessageClass::peakRate).sum();
            if (rate > limit) {
                error(
                        bound.get(0).at(),
                        "peak-rate",
                        "at their peak, "
                                + bound.stream().map(MessageClass::name).collect(Collectors.joining(", ")) + " bring "
                                + Units.ofRate(rate) + " together, and the"
                                + " partners that they go to take " + Units.ofRate(limit)
                                + "; lower the rate or raise a limit");
            }
        }
    }

    private int batch(Partner partner) {
        return declared.kindOf(partner).batch();
    }

    // ---- addresses

    private void addresses() {
        List<Declaration.Front> fronts = declared.fronts();
        for (int i = 0; i < fronts.size(); i++) {
            String listen = fronts.get(i).listen();
            for (int j = 0; j < i; j++) {
                if (Addresses.collide(listen, fronts.get(j).listen())) {
                    error(
                            fronts.get(i).at(),
                            "listen",
                            listen + " is taken by the front in line "
                                    + fronts.get(j).at().at("listen").line() + ", "
                                    + fronts.get(j).listen()
                                    + "; give it another port");
                }
            }
            for (Declaration.Endpoint endpoint : declared.endpoints()) {
                if (Addresses.collide(listen, endpoint.address())) {
                    error(
                            fronts.get(i).at(),
                            "listen",
                            listen + " is where endpoint " + endpoint.id()
                                    + " takes calls: the relay would call itself; give one another port");
                }
            }
            if (declared.discovery().agent() != null
                    && Addresses.collide(listen, declared.discovery().agent())) {
                error(fronts.get(i).at(), "listen", listen + " is discovery.agent's address; give it another port");
            }
        }
        for (Declaration.Endpoint endpoint : declared.endpoints()) {
            if (endpoint.address().endsWith(":0")) {
                error(endpoint.at(), "address", endpoint.address() + " has port 0, where nobody can be called");
            }
        }
    }

    // ---- what is derived, against what was declared

    private void capacity() {
        double open = Planner.mostOpen(declared);
        if (figures.messages() < open) {
            error(
                    "buffer.messages",
                    text(
                            "%d messages are too few: peak-rate times deadline over all classes is %.0f;"
                                    + " raise it or shorten deadlines",
                            figures.messages(), Math.ceil(open)));
        }
        double calls = Planner.mostCalls(declared);
        if (figures.slots() < calls) {
            error(
                    "calls.slots",
                    text(
                            "%d slots are too few: peak rates times responses keep %.1f calls out; raise it",
                            figures.slots(), calls));
        }
        if (figures.connections() < figures.slots()) {
            error(
                    "calls.connections",
                    figures.connections() + " connections are fewer than calls.slots = " + figures.slots()
                            + "; raise it");
        }
        int all = figures.connections()
                + figures.clients()
                + declared.amqp().queues().size()
                + Planner.OTHER_DESCRIPTORS;
        if (all > declared.machine().descriptors()) {
            error(
                    "clients.connections",
                    figures.clients() + " clients, " + figures.connections()
                            + " connections to partners and " + Planner.OTHER_DESCRIPTORS
                            + " descriptors of the process itself"
                            + " are " + all + ", and machine.descriptors = "
                            + declared.machine().descriptors()
                            + "; raise that or lower the connections");
        }
        double record = Planner.bytes(declared, figures.messages(), Planner.RECORD);
        if (record > Planner.OPEN_SHARE * figures.journal()) {
            error(
                    "journal.limit",
                    text(
                            "%s is too small for %d open messages: they take %s, and may take %.0f%% of it;"
                                    + " raise it to %s",
                            Units.ofSize(figures.journal()),
                            figures.messages(),
                            Planner.kib(record),
                            Planner.OPEN_SHARE * 100,
                            Planner.kib(record / Planner.OPEN_SHARE)));
        }
        double held = Planner.bytes(declared, figures.messages(), Planner.HELD);
        if (held > Planner.HELD_SHARE * figures.heap()) {
            error(
                    "process.heap",
                    text(
                            "%s is too small for %d held messages: they take %s, and may take half of it;"
                                    + " raise it to %s",
                            Units.ofSize(figures.heap()),
                            figures.messages(),
                            Planner.kib(held),
                            Planner.kib(held / Planner.HELD_SHARE)));
        }
        for (MessageClass type : declared.classes()) {
            if (type.secondCopies() && !figures.secondCopies()) {
                error(
                        "calls.second-copies",
                        "false, and class " + type.name() + " asks for second copies; set it to"
                                + " true or the class's to false");
            }
            if (figures.connectTimeout() >= type.deadline()) {
                error(
                        "calls.connect-timeout",
                        span(figures.connectTimeout()) + " is no shorter than the deadline of" + " class " + type.name()
                                + ", " + span(type.deadline()) + "; lower it");
            }
        }
    }

    private void memory() {
        Declaration.Memory memory = declared.memory();
        if (!memory.keep()) {
            return;
        }
        long kept = declared.undeliverable().keep() ? declared.undeliverable().limit() : 0;
        if (memory.limit() + kept + figures.journal() > declared.machine().disk()) {
            error(
                    memory.at(),
                    "limit",
                    Units.ofSize(memory.limit()) + " and " + Units.ofSize(figures.journal() + kept)
                            + " for the journal and what is kept share a folder with machine.disk = "
                            + Units.ofSize(declared.machine().disk()) + "; lower one or raise that");
        }
        long picture = declared.endpoints().size() * Planner.REMEMBERED;
        if (picture > memory.limit() * Planner.PICTURE_SHARE) {
            error(
                    memory.at(),
                    "limit",
                    text(
                            "%d endpoints take some %s, and one picture may take three tenths of %s;" + " raise it",
                            declared.endpoints().size(), Planner.kib(picture), Units.ofSize(memory.limit())));
        }
        if (declared.discovery().agent() != null && memory.settle() >= memory.halfLife()) {
            error(
                    memory.at(),
                    "settle",
                    span(memory.settle()) + " is no shorter than memory.half-life = "
                            + span(memory.halfLife())
                            + ": what discovery leaves out would be too old to be believed before it is"
                            + " gone; lower it");
        }
    }

    private void undeliverable() {
        Declaration.Undeliverable kept = declared.undeliverable();
        if (!kept.keep()) {
            return;
        }
        for (MessageClass type : declared.classes()) {
            if (type.shelfLife() < type.deadline()) {
                error(
                        type.at(),
                        "shelf-life",
                        span(type.shelfLife()) + " is shorter than deadline = " + span(type.deadline())
                                + ": a message would be too old as soon as it is kept; raise it");
            }
        }
        if (kept.low() >= kept.high()) {
            error(
                    kept.at(),
                    "low",
                    kept.low() + " is no lower than undeliverable.high = " + kept.high()
                            + ": the store would be full and not full at once; lower it");
        }
        if (kept.limit() + figures.journal() > declared.machine().disk()) {
            error(
                    kept.at(),
                    "limit",
                    Units.ofSize(kept.limit()) + " and the journal's " + Units.ofSize(figures.journal())
                            + " share a folder with machine.disk = "
                            + Units.ofSize(declared.machine().disk())
                            + "; lower one or raise that");
        }
        for (Partner partner : declared.partners()) {
            if (partner.limit() > 0 && kept.pace() > partner.limit()) {
                error(
                        kept.at(),
                        "pace",
                        Units.ofRate(kept.pace()) + " is above the limit of partner " + partner.name() + ", "
                                + Units.ofRate(partner.limit()) + "; lower it");
            }
        }
    }

    // ---- AMQP and HTTP/2

    private void amqp() {
        Map<String, Declaration.Broker> brokers = new HashMap<>();
        declared.amqp().brokers().forEach(b -> brokers.put(b.name(), b));
        Set<String> used = new HashSet<>();
        for (Declaration.Endpoint endpoint : declared.endpoints()) {
            endpoint(endpoint, brokers, used);
        }
        for (Declaration.Queue queue : declared.amqp().queues()) {
            queue(queue, brokers, used);
        }
        for (Declaration.Broker broker : declared.amqp().brokers()) {
            if (!used.contains(broker.name())) {
                warn(broker.at(), "name", "no endpoint and no queue is at broker " + broker.name());
            } else {
                heartbeat(broker.at(), broker.heartbeat());
            }
            readable(broker.at(), "password-file", broker.passwordFile());
            readable(broker.at(), "trust-file", broker.trustFile());
            if (!broker.tls() && (broker.trustFile() != null || broker.tlsName() != null)) {
                error(
                        broker.at(),
                        broker.trustFile() != null ? "trust-file" : "tls-name",
                        "is for TLS, and tls = false;" + " set that to true or leave this out");
            }
        }
        for (Declaration.Front front : declared.fronts()) {
            if (front.amqp()) {
                heartbeat(front.at(), front.heartbeat());
                readable(front.at(), "password-file", front.passwordFile());
                if ((front.user() == null) != (front.passwordFile() == null)) {
                    error(
                            front.at(),
                            front.user() == null ? "password-file" : "user",
                            "user and password-file belong" + " together; add the other one or leave this one out");
                }
            } else {
                strays(front, AMQP_FRONT, "AMQP", "amqp");
            }
        }
        mappings();
        duplicates();
    }

    private void strays(Declaration.Front front, List<String> keys, String spoken, String protocol) {
        keys.stream()
                .filter(front.at()::has)
                .forEach(key -> error(
                        front.at(),
                        key,
                        "is for " + spoken + ", and this front"
                                + " speaks " + (front.amqp() ? "AMQP" : front.isHttp2() ? "HTTP/2" : "HTTP")
                                + "; set protocol = \"" + protocol
                                + "\" or leave it out"));
    }

    private void http2() {
        declared.fronts().stream().filter(f -> !f.isHttp2()).forEach(f -> strays(f, HTTP2_FRONT, "HTTP/2", "http2"));
        for (Declaration.Front front : declared.http2()) {
            http2(front, front.http2());
        }
        if (declared.http2().isEmpty()) {
            return;
        }
        double streams = (double) figures.streams()
                * Planner.STREAM_HELD
                * declared.http2().size();
        if (streams > Planner.STREAM_SHARE * figures.heap()) {
            error(
                    "clients.streams",
                    text(
                            "%d streams at each of %d HTTP/2 fronts take some %s, and may take a fifth of"
                                    + " process.heap = %s; lower it",
                            figures.streams(),
                            declared.http2().size(),
                            Planner.kib(streams),
                            Units.ofSize(figures.heap())));
        }
        double buffers = (double) figures.buffer() * declared.http2().size();
        if (buffers > Planner.STREAM_SHARE * figures.heap()) {
            error(
                    "clients.buffer",
                    text(
                            "%s at each of %d HTTP/2 fronts may take a fifth of process.heap = %s; lower it",
                            Units.ofSize(figures.buffer()), declared.http2().size(), Units.ofSize(figures.heap())));
        }
        long largest = declared.classes().stream()
                .mapToLong(MessageClass::largestBody)
                .max()
                .orElse(0);
        if (largest > figures.buffer()) {
            error(
                    "clients.buffer",
                    Units.ofSize(figures.buffer()) + " holds no body of " + Units.ofSize(largest) + "; raise it");
        }
    }

    private void http2(Declaration.Front front, Declaration.Http2 http2) {
        if (http2.streams() > figures.streams()) {
            error(
                    front.at(),
                    "streams",
                    http2.streams() + " for one connection are more than clients.streams = " + figures.streams()
                            + " for all; lower it");
        }
        if (http2.streams() > figures.messages()) {
            error(
                    front.at(),
                    "streams",
                    http2.streams() + " of one connection would be more than buffer.messages = " + figures.messages()
                            + ": it alone could fill the relay; lower it");
        }
        if (http2.window() > figures.buffer()) {
            error(
                    front.at(),
                    "window",
                    Units.ofSize(http2.window()) + " of one connection is more than clients.buffer = "
                            + Units.ofSize(figures.buffer()) + " for all; lower it");
        }
        if (http2.age() > 0 && http2.age() <= http2.drain()) {
            error(
                    front.at(),
                    "age",
                    span(http2.age()) + " is no longer than drain = " + span(http2.drain())
                            + ": a connection would go as soon as it has come; raise it or set 0s for any age");
        }
        if (http2.drain() >= declared.machine().stopTime()) {
            error(
                    front.at(),
                    "drain",
                    span(http2.drain()) + " is no shorter than machine.stop-time = "
                            + span(declared.machine().stopTime())
                            + ": the process would be ended before its streams are; lower it");
        }
        declared.classes().stream()
                .min(Comparator.comparingLong(MessageClass::deadline))
                .ifPresent(type -> {
                    if (http2.stall() > type.deadline()) {
                        warn(
                                front.at(),
                                "stall",
                                span(http2.stall()) + " is longer than the deadline of class " + type.name() + ", "
                                        + span(type.deadline())
                                        + ": programs would hear of refusals when there is no time left");
                    }
                });
    }

    private void endpoint(Declaration.Endpoint endpoint, Map<String, Declaration.Broker> brokers, Set<String> used) {
        if (endpoint.broker() == null) {
            for (String key : List.of("exchange", "routing-key")) {
                if (endpoint.at().has(key)) {
                    error(
                            endpoint.at(),
                            key,
                            "is for AMQP, and endpoint " + endpoint.id() + " has no broker; name the"
                                    + " [[broker]] or leave it out");
                }
            }
            return;
        }
        used.add(endpoint.broker());
        if (!brokers.containsKey(endpoint.broker())) {
            error(endpoint.at(), "broker", "no [[broker]] is named " + endpoint.broker());
        }
        if (endpoint.exchange().isEmpty() && endpoint.routingKey().isEmpty()) {
            error(
                    endpoint.at(),
                    "routing-key",
                    "neither exchange nor routing key: no message could be routed; give the"
                            + " queue's name as the routing key");
        }
    }

    private void queue(Declaration.Queue queue, Map<String, Declaration.Broker> brokers, Set<String> used) {
        used.add(queue.broker());
        if (!brokers.containsKey(queue.broker())) {
            error(queue.at(), "broker", "no [[broker]] is named " + queue.broker());
        }
        if (queue.prefetch() > figures.messages()) {
            error(
                    queue.at(),
                    "prefetch",
                    queue.prefetch() + " is above buffer.messages = " + figures.messages()
                            + ": the relay would refuse what it asked for; lower it");
        }
        for (MessageClass type : declared.classes()) {
            if (queue.autoAcknowledge() && type.repeat() != Repeat.REPEATABLE) {
                error(
                        queue.at(),
                        "acknowledge",
                        "auto, and messages of class " + type.name() + " are not repeatable: one"
                                + " that the broker has forgotten could be lost; set it to manual");
                break;
            }
        }
        if (queue.ends().equals("always") && queue.replyQueue() == null) {
            error(queue.at(), "ends", "always, and there is no reply-queue for messages that ask for none; add it");
        }
        if (!queue.ends().equals("always") && queue.replyQueue() != null) {
            error(
                    queue.at(),
                    "reply-queue",
                    "is used with ends = \"always\" alone, and that is " + queue.ends() + "; change one");
        }
    }

    /** A heartbeat longer than a deadline finds a dead connection only when its messages are lost. */
    private void heartbeat(TableReader at, long heartbeat) {
        declared.classes().stream()
                .min(Comparator.comparingLong(MessageClass::deadline))
                .ifPresent(type -> {
                    if (heartbeat > type.deadline()) {
                        error(
                                at,
                                "heartbeat",
                                span(heartbeat) + " is longer than the deadline of class " + type.name() + ", "
                                        + span(type.deadline())
                                        + ": a dead connection would be found when its messages are over; lower it");
                    }
                });
    }

    private void readable(TableReader at, String key, String file) {
        if (file != null) {
            surroundings.unreadable(file).ifPresent(fault -> error(at, key, fault));
        }
    }

    private void mappings() {
        Set<String> seen = new HashSet<>();
        Declaration.Mapping all = null;
        for (Declaration.Mapping mapping : declared.amqp().mappings()) {
            if (all != null) {
                error(
                        mapping.at(),
                        "content-type",
                        "is never reached: the mapping in line "
                                + all.at().place().line() + " is for every content type; put that one last");
            } else if (mapping.contentType() == null) {
                all = mapping;
            } else if (!seen.add(mapping.contentType())) {
                error(
                        mapping.at(),
                        "content-type",
                        "\"" + mapping.contentType() + "\" stands in a mapping above, which is" + " used");
            }
        }
        if (!declared.amqp().mappings().isEmpty() && !declared.takesAmqp()) {
            warn(declared.amqp().mappings().get(0).at(), "class", "nothing comes in over AMQP that could be mapped");
        }
    }

    private void duplicates() {
        if (!declared.takesAmqp()) {
            return;
        }
        Declaration.Duplicates d = declared.amqp().duplicates();
        double entries = declared.classes().stream()
                .mapToDouble(c -> (c.meanRate() > 0 ? c.meanRate() : c.peakRate()) * d.span() / 1e6)
                .sum();
        if (entries > d.entries()) {
            warn(
                    d.at(),
                    "entries",
                    text(
                            "%d ids are fewer than the %.0f messages of %s at the classes' rates: when they are"
                                    + " full, nothing more is taken on over AMQP; raise it or shorten the span",
                            d.entries(), entries, span(d.span())));
        }
        long memory = d.entries() * Planner.SEEN_HELD;
        if (memory > Planner.SEEN_SHARE * figures.heap()) {
            error(
                    d.at(),
                    "entries",
                    text(
                            "%d ids take some %s, and may take a quarter of process.heap = %s; lower it",
                            d.entries(), Planner.kib(memory), Units.ofSize(figures.heap())));
        }
        long disk = d.entries() * Planner.SEEN_RECORD;
        long others = figures.journal()
                + (declared.undeliverable().keep() ? declared.undeliverable().limit() : 0)
                + (declared.memory().keep() ? declared.memory().limit() : 0);
        if (others + disk > declared.machine().disk()) {
            error(
                    d.at(),
                    "entries",
                    text(
                            "%d ids take up to %s, and with %s for the journal and what is kept that is more"
                                    + " than machine.disk = %s; lower it or raise that",
                            d.entries(),
                            Planner.kib(disk),
                            Units.ofSize(others),
                            Units.ofSize(declared.machine().disk())));
        }
    }

    private void machine() {
        Declaration.Machine machine = declared.machine();
        long memory = figures.heap() + figures.direct() + Planner.JVM_OWN;
        if (memory > machine.memory()) {
            error(
                    "process.heap",
                    Units.ofSize(figures.heap()) + " of heap, " + Units.ofSize(figures.direct())
                            + " of direct memory and " + Units.ofSize(Planner.JVM_OWN) + " for the JVM itself are "
                            + Units.ofSize(memory) + ", and machine.memory = " + Units.ofSize(machine.memory())
                            + "; lower the heap or raise that");
        }
        if (figures.journal() > machine.disk()) {
            error(
                    "journal.limit",
                    Units.ofSize(figures.journal()) + " is more than machine.disk = " + Units.ofSize(machine.disk())
                            + "; lower it");
        }
        if (figures.drainGrace() >= machine.stopTime()) {
            error(
                    "rules.drain-grace",
                    span(figures.drainGrace()) + " is no shorter than machine.stop-time = " + span(machine.stopTime())
                            + ": the process would be ended before the grace is over; lower it");
        }
        if (machine.stopTime() < OWN_STOP) {
            warn(
                    machine.at(),
                    "stop-time",
                    span(machine.stopTime()) + " is shorter than the " + span(OWN_STOP)
                            + " that a planned end may take: what is still open then waits for the next start");
        }
        if (figures.warmUp() > 0 && figures.fallSpan() > figures.warmUp()) {
            error(
                    "rules.fall-span",
                    span(figures.fallSpan()) + " is longer than rules.warm-up = " + span(figures.warmUp())
                            + ": the rule could never bind; lower it");
        }
        surroundings
                .temporary()
                .filter(temporary -> isWithin(machine.folder(), temporary))
                .ifPresent(temporary -> error(
                        machine.at(),
                        "folder",
                        machine.folder() + " is inside $TMPDIR (" + temporary
                                + "), which is emptied at each start; keep the journal elsewhere"));
        surroundings.fault(machine.folder()).ifPresent(fault -> error(machine.at(), "folder", fault));
    }

    /** True where a folder is another one, or somewhere inside it. */
    static boolean isWithin(String folder, String outer) {
        String inner = normal(folder);
        String within = normal(outer);
        return inner.equals(within) || inner.startsWith(within.equals("/") ? within : within + "/");
    }

    private static String normal(String folder) {
        List<String> parts = new ArrayList<>();
        for (String part : folder.split("/")) {
            if (part.equals("..") && !parts.isEmpty()) {
                parts.remove(parts.size() - 1);
            } else if (!part.isEmpty() && !part.equals(".") && !part.equals("..")) {
                parts.add(part);
            }
        }
        return "/" + String.join("/", parts);
    }
}
