package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import loftflow.config.file.Finding;
import loftflow.config.file.Node;
import loftflow.config.file.Units;
import loftflow.config.schema.TableReader;
import loftflow.policy.api.Idempotency;

/** Reads a scenario and finds what contradicts itself in it. */
public final class ScenarioReader {
    /** A relay may not be asked to hold more than its machine could: messages at all relays together. */
    private static final double MOST_MESSAGES = 50e6;

    private static final double MICROS = 1e6;

    /**
     * What was read.
     *
     * @param scenario null where there is an error
     * @param findings in the order of the file
     */
    public record Read(Scenario scenario, List<Finding> findings) {}

    private final TableReader top;
    private final List<Finding> findings;
    private final Set<String> groups = new HashSet<>();
    private final Set<String> buildings = new HashSet<>();

    private ScenarioReader(TableReader top, List<Finding> findings) {
        this.top = top;
        this.findings = findings;
    }

    /**
     * Reads a file.
     *
     * @param node what the parser made of it
     * @param grammar what the parser found wrong
     */
    public static Read read(String file, Node node, List<Finding> grammar) {
        List<Finding> findings = new ArrayList<>(grammar);
        Scenario scenario = null;
        if (findings.isEmpty()) {
            TableReader top = TableReader.read(ScenarioSchema.SCENARIO, file, node, false, findings);
            if (findings.isEmpty()) {
                scenario = new ScenarioReader(top, findings).scenario();
            }
        }
        findings.sort(Finding.IN_ORDER);
        return new Read(findings.stream().anyMatch(Finding::isError) ? null : scenario, List.copyOf(findings));
    }

    private Scenario scenario() {
        TableReader fleet = top.table("fleet");
        TableReader clients = top.table("clients");
        TableReader network = top.table("network");
        List<Scenario.Group> all = top.tables("group").stream().map(this::group).toList();
        List<Scenario.MessageClass> classes =
                top.tables("class").stream().map(c -> messageClass(c, all)).toList();
        List<Scenario.Tenant> tenants = top.tables("tenant").stream()
                .map(t -> new Scenario.Tenant(t.text("name"), t.number("share"), t.number("rate")))
                .toList();
        Scenario scenario = new Scenario(
                top.text("name"),
                top.has("text") ? top.text("text") : "",
                top.whole("span"),
                top.number("load"),
                new Scenario.Fleet(
                        (int) fleet.whole("relays"),
                        fleet.number("skew"),
                        (int) fleet.whole("slots"),
                        (int) fleet.whole("messages"),
                        fleet.whole("round"),
                        fleet.whole("restart")),
                new Scenario.Clients(
                        (int) clients.whole("repeats"),
                        clients.whole("pause"),
                        clients.number("clumped"),
                        (int) clients.whole("clump"),
                        clients.whole("ramp"),
                        (int) clients.whole("backlog")),
                new Scenario.Network(network.whole("inside"), network.whole("across")),
                classes,
                tenants,
                all,
                top.tables("failure").stream().map(f -> failure(f, all)).toList());
        check(scenario);
        return scenario;
    }

    private Scenario.Group group(TableReader g) {
        if (!groups.add(g.text("name"))) {
            findings.add(g.at("name").error("a group of this name stands above"));
        }
        List<String> own = g.names("buildings") == null ? List.of("main") : g.names("buildings");
        if (own.isEmpty()) {
            findings.add(g.at("buildings").error("names no building: leave it out for main"));
            own = List.of("main");
        }
        buildings.addAll(own);
        double servers = g.number("capacity") * g.whole("response") / MICROS;
        if (g.number("limit") > 0 && g.whole("response") > 0 && servers < 0.01) {
            findings.add(
                    g.at("capacity")
                            .warning(
                                    "such an endpoint is busy for " + Math.round(servers * 1000)
                                            + " thousandths of a call at full load: its capacity or its response is a slip of the pen"));
        }
        double able = g.number("capacity") * (g.flag("routes-apart") ? 1 : g.whole("endpoints"));
        if (g.number("limit") > able) {
            findings.add(g.at("limit")
                    .warning("a limit of " + Units.ofRate(g.number("limit")) + " never binds: "
                            + (g.flag("routes-apart") ? "an endpoint" : "a partner") + " can do "
                            + Units.ofRate(able)));
        }
        if (g.flag("told") && g.number("limit") == 0) {
            findings.add(g.at("told").error("there is no limit to tell: set limit"));
        }
        if (g.flag("refusals-count") && g.number("limit") == 0) {
            findings.add(g.at("refusals-count").error("there is no limit to use up: set limit"));
        }
        if (own.size() > g.whole("partners") * g.whole("endpoints")) {
            findings.add(g.at("buildings")
                    .error("names " + own.size() + " buildings for " + g.whole("partners") * g.whole("endpoints")
                            + " endpoints: nothing would stand in " + own.get(own.size() - 1)));
        }
        return new Scenario.Group(
                g.text("name"),
                g.text("kind"),
                (int) g.whole("partners"),
                (int) g.whole("endpoints"),
                own,
                g.number("weight"),
                g.number("skew"),
                g.number("capacity"),
                g.number("limit"),
                g.flag("told"),
                g.flag("refusals-count"),
                g.whole("response"),
                g.number("spread"),
                (int) g.whole("queue"),
                g.whole("wait"),
                (int) g.whole("batch"),
                g.flag("routes-apart"),
                g.number("cold-from"),
                g.whole("warm-up"));
    }

    private Scenario.MessageClass messageClass(TableReader c, List<Scenario.Group> all) {
        Idempotency repeat = Idempotency.ofSettingName(c.text("repeat"));
        if (c.whole("deadline") <= c.whole("wanted")) {
            findings.add(c.at("deadline")
                    .error(Units.ofSpan(c.whole("deadline")) + " is no longer than wanted = "
                            + Units.ofSpan(c.whole("wanted")) + ": a message would be given up before it is late"));
        }
        if (repeat == Idempotency.IDEMPOTENT_BY_KEY && !c.has("key-window")) {
            findings.add(c.at("key-window")
                    .error("is missing: a class by key needs the span for which partners drop a key"));
        }
        List<Scenario.Group> reached = all.stream()
                .filter(g -> c.names("to") == null || c.names("to").contains(g.kind()))
                .toList();
        if (reached.stream().mapToDouble(Scenario.Group::weight).sum() <= 0) {
            findings.add(c.at("to").error("no group with a weight above 0 is of a kind that this class goes to"));
        }
        reached.stream()
                .filter(g -> g.response() > c.whole("deadline"))
                .findFirst()
                .ifPresent(g -> findings.add(c.at("deadline")
                        .error(Units.ofSpan(c.whole("deadline")) + " is shorter than group " + g.name()
                                + "'s response of " + Units.ofSpan(g.response())
                                + ": no partner of it could deliver in time")));
        return new Scenario.MessageClass(
                c.text("name"),
                repeat,
                c.whole("key-window"),
                c.text("key-scope").equals("building"),
                c.whole("wanted"),
                c.whole("deadline"),
                c.number("worth"),
                c.number("late-worth"),
                c.number("rate"),
                c.names("to"));
    }

    private Scenario.Failure failure(TableReader f, List<Scenario.Group> all) {
        Scenario.Kind kind = named(Scenario.Kind.class, f.text("kind"));
        if (f.has("group") && !groups.contains(f.text("group"))) {
            findings.add(f.at("group").error("there is no group " + f.text("group")));
        }
        if (f.has("building") && !buildings.contains(f.text("building"))) {
            findings.add(f.at("building").error("no endpoint stands in " + f.text("building")));
        }
        if (!kind.isOfEndpoints() && (f.has("group") || f.has("building"))) {
            findings.add(f.at(f.has("group") ? "group" : "building")
                    .error("says nothing of " + f.text("kind") + ", which strikes no endpoints"));
        }
        if (f.has("factor") && kind != Scenario.Kind.SLOW && kind != Scenario.Kind.LEAK) {
            findings.add(f.at("factor").error("is for slow and leak alone"));
        }
        if (f.has("part") && !kind.hasPart()) {
            findings.add(f.at("part").error("is for errors and limits alone"));
        }
        if (kind == Scenario.Kind.LIMITS && !f.has("part")) {
            findings.add(f.at("part").error("is missing: limits needs the part that is left of them"));
        }
        if (kind == Scenario.Kind.LIMITS
                && all.stream()
                        .noneMatch(g ->
                                g.limit() > 0 && (!f.has("group") || g.name().equals(f.text("group"))))) {
            findings.add(f.at("kind")
                    .error(
                            f.has("group")
                                    ? "group " + f.text("group") + " has no limit to lower"
                                    : "no group has a limit to lower"));
        }
        long restart = top.table("fleet").whole("restart");
        if ((kind == Scenario.Kind.RELAYS_DIE || kind == Scenario.Kind.RELAYS_ROLL) && restart >= top.whole("span")) {
            findings.add(f.at("kind")
                    .error("relays that end are back after " + Units.ofSpan(restart) + " (fleet.restart), when nothing"
                            + " is handed in any more (span = " + Units.ofSpan(top.whole("span")) + ")"));
        }
        if (kind == Scenario.Kind.RELAYS_ROLL && f.whole("at") + f.whole("lasts") > top.whole("span")) {
            findings.add(f.at("lasts")
                    .error("ends at " + Units.ofSpan(f.whole("at") + f.whole("lasts")) + ", when nothing is handed in"
                            + " any more (span = " + Units.ofSpan(top.whole("span"))
                            + "): the last tenths would be restarted for nobody"));
        }
        if (f.whole("at") >= top.whole("span")) {
            findings.add(f.at("at")
                    .error("begins at " + Units.ofSpan(f.whole("at")) + ", when nothing is handed in any more"
                            + " (span = " + Units.ofSpan(top.whole("span")) + ")"));
        }
        return new Scenario.Failure(
                kind,
                f.whole("at"),
                f.whole("lasts"),
                f.number("hazard"),
                f.number("share"),
                f.text("group"),
                f.text("building"),
                f.number("factor"),
                f.number("part"));
    }

    /** The value that {@link ScenarioWriter#word} writes so. */
    private static <E extends Enum<E>> E named(Class<E> type, String word) {
        return Enum.valueOf(type, word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private void check(Scenario scenario) {
        if (scenario.groups().isEmpty()) {
            findings.add(top.place().error("a [[group]] of partners is needed"));
        }
        if (scenario.classes().isEmpty()) {
            findings.add(top.place().error("a [[class]] of messages is needed"));
        }
        double asked = scenario.classes().stream()
                        .mapToDouble(Scenario.MessageClass::rate)
                        .sum()
                * scenario.load();
        if (asked <= 0 && !scenario.classes().isEmpty()) {
            findings.add(top.place().error("the classes' rates are all 0: nothing would happen"));
        }
        double messages = asked * scenario.span() / MICROS + scenario.clients().backlog();
        if (messages > MOST_MESSAGES) {
            findings.add(top.at("span")
                    .error(Math.round(messages / MICROS) + " million messages in all: no run of more than "
                            + Math.round(MOST_MESSAGES / MICROS) + " million is played"));
        }
        Set<String> names = new HashSet<>();
        top.tables("class").stream()
                .filter(c -> !names.add("class " + c.text("name")))
                .forEach(c -> findings.add(c.at("name").error("a class of this name stands above")));
        top.tables("tenant").stream()
                .filter(t -> !names.add("tenant " + t.text("name")))
                .forEach(t -> findings.add(t.at("name").error("a tenant of this name stands above")));
        if (!scenario.tenants().isEmpty()
                && scenario.tenants().stream()
                                .mapToDouble(Scenario.Tenant::share)
                                .sum()
                        <= 0) {
            findings.add(top.place().error("the tenants' shares are all 0"));
        }
        sameKind(scenario);
    }

    /** A kind is told to relays once: groups of one kind must agree on what is told of it. */
    private void sameKind(Scenario scenario) {
        for (int i = 0; i < scenario.groups().size(); i++) {
            Scenario.Group g = scenario.groups().get(i);
            int at = i;
            scenario.groups().subList(0, i).stream()
                    .filter(o ->
                            o.kind().equals(g.kind()) && (o.batch() != g.batch() || o.routesApart() != g.routesApart()))
                    .findFirst()
                    .ifPresent(o -> findings.add(top.tables("group")
                            .get(at)
                            .at("kind")
                            .error("group " + o.name() + " has another batch or routes-apart for kind " + g.kind()
                                    + ": a kind has one of each")));
        }
    }
}
