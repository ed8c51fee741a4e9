package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.config.file.Finding;
import loftflow.config.file.Node;
import loftflow.config.file.Units;
import loftflow.config.schema.TableReader;
import loftflow.policy.api.Idempotency;

/** Reads a scenario file and reports contradictions in it. */
public final class ScenarioReader {
    /** Messages that a run may have in all. */
    private static final double MAX_MESSAGES = 50e6;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLION = 1e6;
    /** A busier fraction of one server than this is plausible; a smaller one is reported. */
    private static final double MIN_PLAUSIBLE_SERVERS = 0.01;

    private static final String DEFAULT_ZONE = "main";

    /**
     * The result of reading a file.
     *
     * @param scenario null where there is an error
     * @param findings in the order of the file
     */
    public record ReadResult(Scenario scenario, List<Finding> findings) {}

    private final TableReader top;
    private final List<Finding> findings;
    private final Set<String> groupNames = new HashSet<>();
    private final Set<String> zones = new HashSet<>();

    private ScenarioReader(TableReader top, List<Finding> findings) {
        this.top = top;
        this.findings = findings;
    }

    /**
     * Reads a file.
     *
     * @param file its name, for findings
     * @param node the parsed file
     * @param syntaxFindings the findings of the parser
     */
    public static ReadResult read(String file, Node node, List<Finding> syntaxFindings) {
        List<Finding> findings = new ArrayList<>(syntaxFindings);
        Scenario scenario = null;
        if (findings.isEmpty()) {
            TableReader top = TableReader.read(ScenarioSchema.SCENARIO, file, node, false, findings);
            if (findings.isEmpty()) {
                scenario = new ScenarioReader(top, findings).scenario();
            }
        }
        findings.sort(Finding.BY_POSITION);
        boolean hasError = findings.stream().anyMatch(Finding::isError);
        return new ReadResult(hasError ? null : scenario, List.copyOf(findings));
    }

    private Scenario scenario() {
        List<Scenario.PartnerGroup> groups =
                top.tables("group").stream().map(this::group).toList();
        List<Scenario.MessageClass> classes = top.tables("class").stream()
                .map(table -> messageClass(table, groups))
                .toList();
        List<Scenario.Tenant> tenants = top.tables("tenant").stream()
                .map(table -> new Scenario.Tenant(table.text("name"), table.number("share"), table.number("rate")))
                .toList();
        List<Scenario.Failure> failures = top.tables("failure").stream()
                .map(table -> new FailureReader(top, table, groups, zones, findings).read())
                .toList();
        Scenario scenario = new Scenario(
                top.text("name"),
                top.has("text") ? top.text("text") : "",
                top.whole("span"),
                top.number("load"),
                fleet(top.table("fleet")),
                clients(top.table("clients")),
                network(top.table("network")),
                classes,
                tenants,
                groups,
                failures);
        checkCompleteness(scenario);
        checkLoad(scenario);
        checkNames();
        checkTenantShares(scenario);
        checkKinds(scenario);
        return scenario;
    }

    private static Scenario.Fleet fleet(TableReader table) {
        return new Scenario.Fleet(
                (int) table.whole("relays"),
                table.number("skew"),
                (int) table.whole("slots"),
                (int) table.whole("messages"),
                table.whole("round"),
                table.whole("restart"));
    }

    private static Scenario.Clients clients(TableReader table) {
        return new Scenario.Clients(
                (int) table.whole("repeats"),
                table.whole("pause"),
                table.number("clumped"),
                (int) table.whole("clump"),
                table.whole("ramp"),
                (int) table.whole("backlog"));
    }

    private static Scenario.Network network(TableReader table) {
        return new Scenario.Network(table.whole("inside"), table.whole("across"));
    }

    private Scenario.PartnerGroup group(TableReader table) {
        if (!groupNames.add(table.text("name"))) {
            findings.add(table.at("name").error("a group of this name stands above"));
        }
        List<String> groupZones = groupZones(table);
        zones.addAll(groupZones);
        checkCapacity(table);
        checkLimit(table);
        long endpoints = table.whole("partners") * table.whole("endpoints");
        if (groupZones.size() > endpoints) {
            findings.add(table.at("buildings")
                    .error("names " + groupZones.size() + " buildings for " + endpoints
                            + " endpoints: nothing would stand in " + groupZones.get(groupZones.size() - 1)));
        }
        return new Scenario.PartnerGroup(
                table.text("name"),
                table.text("kind"),
                (int) table.whole("partners"),
                (int) table.whole("endpoints"),
                groupZones,
                table.number("weight"),
                table.number("skew"),
                table.number("capacity"),
                table.number("limit"),
                table.flag("told"),
                table.flag("refusals-count"),
                table.whole("response"),
                table.number("spread"),
                (int) table.whole("queue"),
                table.whole("wait"),
                (int) table.whole("batch"),
                table.flag("routes-apart"),
                table.number("cold-from"),
                table.whole("warm-up"));
    }

    private List<String> groupZones(TableReader table) {
        List<String> named = table.names("buildings") == null ? List.of(DEFAULT_ZONE) : table.names("buildings");
        if (named.isEmpty()) {
            findings.add(table.at("buildings").error("names no building: leave it out for main"));
            return List.of(DEFAULT_ZONE);
        }
        return named;
    }

    private void checkCapacity(TableReader table) {
        double busyServers = table.number("capacity") * table.whole("response") / MICROS_PER_SECOND;
        if (table.number("limit") > 0 && table.whole("response") > 0 && busyServers < MIN_PLAUSIBLE_SERVERS) {
            findings.add(table.at("capacity")
                    .warning("such an endpoint is busy for " + Math.round(busyServers * 1000)
                            + " thousandths of a call at full load: its capacity or its response is a slip of"
                            + " the pen"));
        }
    }

    private void checkLimit(TableReader table) {
        boolean independentRoutes = table.flag("routes-apart");
        double capacity = table.number("capacity") * (independentRoutes ? 1 : table.whole("endpoints"));
        double limit = table.number("limit");
        if (limit > capacity) {
            findings.add(table.at("limit")
                    .warning("a limit of " + Units.formatRate(limit) + " never binds: "
                            + (independentRoutes ? "an endpoint" : "a partner") + " can do "
                            + Units.formatRate(capacity)));
        }
        if (table.flag("told") && limit == 0) {
            findings.add(table.at("told").error("there is no limit to tell: set limit"));
        }
        if (table.flag("refusals-count") && limit == 0) {
            findings.add(table.at("refusals-count").error("there is no limit to use up: set limit"));
        }
    }

    private Scenario.MessageClass messageClass(TableReader table, List<Scenario.PartnerGroup> groups) {
        Idempotency idempotency = Idempotency.ofSettingName(table.text("repeat"));
        if (table.whole("deadline") <= table.whole("wanted")) {
            findings.add(table.at("deadline")
                    .error(Units.formatDuration(table.whole("deadline")) + " is no longer than wanted = "
                            + Units.formatDuration(table.whole("wanted"))
                            + ": a message would be given up before it is late"));
        }
        if (idempotency == Idempotency.IDEMPOTENT_BY_KEY && !table.has("key-window")) {
            findings.add(table.at("key-window")
                    .error("is missing: a class by key needs the span for which partners drop a key"));
        }
        checkDestinations(table, groups);
        return new Scenario.MessageClass(
                table.text("name"),
                idempotency,
                table.whole("key-window"),
                table.text("key-scope").equals("building"),
                table.whole("wanted"),
                table.whole("deadline"),
                table.number("worth"),
                table.number("late-worth"),
                table.number("rate"),
                table.names("to"));
    }

    private void checkDestinations(TableReader table, List<Scenario.PartnerGroup> groups) {
        List<String> kinds = table.names("to");
        List<Scenario.PartnerGroup> destinations = groups.stream()
                .filter(group -> kinds == null || kinds.contains(group.kind()))
                .toList();
        double weight = destinations.stream()
                .mapToDouble(Scenario.PartnerGroup::trafficWeight)
                .sum();
        if (weight <= 0) {
            findings.add(table.at("to").error("no group with a weight above 0 is of a kind that this class goes to"));
        }
        destinations.stream()
                .filter(group -> group.responseMicros() > table.whole("deadline"))
                .findFirst()
                .ifPresent(group -> findings.add(table.at("deadline")
                        .error(Units.formatDuration(table.whole("deadline")) + " is shorter than group " + group.name()
                                + "'s response of " + Units.formatDuration(group.responseMicros())
                                + ": no partner of it could deliver in time")));
    }

    private void checkCompleteness(Scenario scenario) {
        if (scenario.groups().isEmpty()) {
            findings.add(top.place().error("a [[group]] of partners is needed"));
        }
        if (scenario.classes().isEmpty()) {
            findings.add(top.place().error("a [[class]] of messages is needed"));
        }
    }

    private void checkLoad(Scenario scenario) {
        double ratePerSecond = scenario.ratePerSecond();
        if (ratePerSecond <= 0 && !scenario.classes().isEmpty()) {
            findings.add(top.place().error("the classes' rates are all 0: nothing would happen"));
        }
        double messages = ratePerSecond * scenario.durationMicros() / MICROS_PER_SECOND
                + scenario.clients().backlog();
        if (messages > MAX_MESSAGES) {
            findings.add(top.at("span")
                    .error(Math.round(messages / MILLION) + " million messages in all: no run of more than "
                            + Math.round(MAX_MESSAGES / MILLION) + " million is played"));
        }
    }

    private void checkNames() {
        checkUnique("class", "a class of this name stands above");
        checkUnique("tenant", "a tenant of this name stands above");
    }

    private void checkUnique(String key, String reason) {
        Set<String> names = new HashSet<>();
        top.tables(key).stream()
                .filter(table -> !names.add(table.text("name")))
                .forEach(table -> findings.add(table.at("name").error(reason)));
    }

    private void checkTenantShares(Scenario scenario) {
        double shares = scenario.tenants().stream()
                .mapToDouble(Scenario.Tenant::trafficShare)
                .sum();
        if (!scenario.tenants().isEmpty() && shares <= 0) {
            findings.add(top.place().error("the tenants' shares are all 0"));
        }
    }

    /** Relays know one batch size and one scope of limits for each kind, so groups of one kind must agree on them. */
    private void checkKinds(Scenario scenario) {
        for (int i = 0; i < scenario.groups().size(); i++) {
            Scenario.PartnerGroup group = scenario.groups().get(i);
            TableReader table = top.tables("group").get(i);
            scenario.groups().subList(0, i).stream()
                    .filter(other -> other.kind().equals(group.kind()) && !hasSameKindSettings(other, group))
                    .findFirst()
                    .ifPresent(other -> findings.add(table.at("kind")
                            .error("group " + other.name() + " has another batch or routes-apart for kind "
                                    + group.kind() + ": a kind has one of each")));
        }
    }

    private static boolean hasSameKindSettings(Scenario.PartnerGroup a, Scenario.PartnerGroup b) {
        return a.maxBatchSize() == b.maxBatchSize() && a.independentRoutes() == b.independentRoutes();
    }
}
