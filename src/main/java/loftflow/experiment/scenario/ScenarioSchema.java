package loftflow.experiment.scenario;

import static loftflow.config.schema.Setting.Type.FLAG;
import static loftflow.config.schema.Setting.Type.NAME;
import static loftflow.config.schema.Setting.Type.NAMES;
import static loftflow.config.schema.Setting.Type.NUMBER;
import static loftflow.config.schema.Setting.Type.RATE;
import static loftflow.config.schema.Setting.Type.SPAN;
import static loftflow.config.schema.Setting.Type.TEXT;
import static loftflow.config.schema.Setting.Type.WHOLE;

import java.util.List;
import java.util.stream.Stream;
import loftflow.config.schema.Catalog;

/** The settings of a scenario file. */
public final class ScenarioSchema extends Catalog {
    /** The only instance. */
    public static final ScenarioSchema SCENARIO = new ScenarioSchema();

    private ScenarioSchema() {
        super("# Scenarios\n\nWritten by `loftflow lab reference` from what `loftflow lab` reads.\n");
        addTop();
        addFleet();
        addClients();
        addNetwork();
        addMessageClass();
        addTenant();
        addPartnerGroup();
        addFailure();
    }

    private void addTop() {
        need("format", WHOLE, 1, 1, "The version of this form of file: 1.");
        need("name", NAME, 0, ANY, "The scenario's name.");
        may("text", TEXT, null, 0, ANY, "What it is for, in a sentence.");
        need("span", SPAN, SECOND, DAY, "How long programs hand messages in.");
        may("load", NUMBER, "1", 0.001, 1_000, "Multiplies every rate.");
    }

    private void addFleet() {
        table("fleet", "The relays.");
        may("fleet.relays", WHOLE, "1", 1, 100_000, "How many there are.");
        may("fleet.skew", NUMBER, "0", 0, 4, "0 for the same traffic at each; the n-th gets a part like 1 / n ^ skew.");
        may("fleet.slots", WHOLE, "64", 1, 1_000_000, "Calls that one may have out at once.");
        may("fleet.messages", WHOLE, "400", 1, 10_000_000, "Messages that one may hold.");
        may("fleet.round", SPAN, "5ms", MS, SECOND, "How long one gathers what comes in before it acts.");
        may("fleet.restart", SPAN, "2s", MS, DAY, "From the death of one until it serves again.");
    }

    private void addClients() {
        table("clients", "The programs that hand messages in.");
        may("clients.repeats", WHOLE, "2", 0, 100, "How often a message that was refused is handed in again.");
        may("clients.pause", SPAN, "1s", MS, DAY, "Before that; a longer time that the relay told is heeded.");
        may("clients.clumped", NUMBER, "0", 0, 1, "Share of the messages that come in clumps for one partner.");
        may("clients.clump", WHOLE, "10", 1, 100_000, "Messages in a clump.");
        may("clients.ramp", SPAN, "0s", 0, DAY, "Rates rise evenly from nothing to the full in so long.");
        may(
                "clients.backlog",
                WHOLE,
                "0",
                0,
                1_000_000,
                "Messages that wait when the run begins, all handed in at once.");
    }

    private void addNetwork() {
        table("network", "One way between a relay and an endpoint.");
        may("network.inside", SPAN, "500us", 0, SECOND, "Within a building.");
        may("network.across", SPAN, "40ms", 0, SECOND, "Between buildings.");
    }

    private void addMessageClass() {
        tables("class", "A class of messages; at least one is needed.");
        need("class[].name", NAME, 0, ANY, "Its name.");
        wordNeeded("class[].repeat", List.of("repeatable", "by-key", "once"), "How often a message may take effect.");
        may("class[].key-window", SPAN, null, 1, DAY, "How long a partner drops a repeated key.");
        word("class[].key-scope", "all", List.of("all", "building"), "Which endpoints of a partner share keys.");
        need("class[].wanted", SPAN, 1, DAY, "Delivered within this span a message is worth all it can be.");
        need("class[].deadline", SPAN, 1, DAY, "After this span a message is given up.");
        may("class[].worth", NUMBER, "1", 0, 1e9, "What a delivery is worth, beside other classes.");
        may("class[].late-worth", NUMBER, "0", 0, 1, "The share of its worth that is left at the deadline.");
        need("class[].rate", RATE, 0, ANY, "Messages a second at all relays together.");
        may("class[].to", NAMES, null, 0, ANY, "The kinds of partner that it goes to; all if left out.");
    }

    private void addTenant() {
        tables("tenant", "Whoever messages are sent for.");
        need("tenant[].name", NAME, 0, ANY, "Its name.");
        need("tenant[].share", NUMBER, 0, 1e9, "Its part of the traffic, beside the others'.");
        may("tenant[].rate", RATE, "0/s", 0, ANY, "Messages a second that count as its share; 0/s for any.");
    }

    private void addPartnerGroup() {
        tables("group", "Partners that are alike; at least one is needed.");
        need("group[].name", NAME, 0, ANY, "Its name.");
        need("group[].kind", NAME, 0, ANY, "Their kind.");
        may("group[].partners", WHOLE, "1", 1, 100_000, "How many partners.");
        may("group[].endpoints", WHOLE, "1", 1, 1_000, "Endpoints of each.");
        may("group[].buildings", NAMES, null, 0, ANY, "Where endpoints stand, by turns; main if left out.");
        may("group[].weight", NUMBER, "1", 0, 1e9, "The group's part of the traffic, beside the others'.");
        may("group[].skew", NUMBER, "0", 0, 4, "How it is spread within the group, as with the fleet.");
        need("group[].capacity", RATE, 0.01, ANY, "Calls that one endpoint can do.");
        may(
                "group[].limit",
                RATE,
                "0/s",
                0,
                ANY,
                "Calls that a partner, or each endpoint where routes are apart, takes from"
                        + " all relays; 0/s for any.");
        may("group[].told", FLAG, "false", 0, ANY, "The limit is told in answers.");
        may("group[].refusals-count", FLAG, "false", 0, ANY, "Calls that are refused use the limit up too.");
        need("group[].response", SPAN, MS, DAY, "How long a call takes in the mean.");
        may("group[].spread", NUMBER, "0.3", 0, 3, "Sigma of its log-normal distribution.");
        may("group[].queue", WHOLE, "16", 0, 1_000_000, "Calls that may wait at an endpoint; more are refused.");
        may("group[].wait", SPAN, "0s", 0, DAY, "The wait that a refusal tells; 0s for none.");
        may("group[].batch", WHOLE, "1", 1, 100, "Messages that may travel in one call.");
        may("group[].routes-apart", FLAG, "false", 0, ANY, "Each endpoint has a limit and outages of its own.");
        may("group[].cold-from", NUMBER, "0.15", 0.01, 1, "The share of its capacity with which an endpoint returns.");
        may("group[].warm-up", SPAN, "10s", 0, DAY, "After this span it is warm.");
    }

    private void addFailure() {
        tables("failure", "Something that goes wrong.");
        wordNeeded(
                "failure[].kind",
                Stream.of(FailureKind.values()).map(FailureKind::code).toList(),
                "What: endpoints refuse connections, refuse calls, take calls and say nothing, fail a part of the"
                        + " calls, are slow, grow slower, drain and go, lower their limits; relays die, at once"
                        + " or a tenth at a time over the span; discovery is silent.");
        need("failure[].at", SPAN, 0, DAY, "When it begins; with a hazard the earliest time.");
        may("failure[].lasts", SPAN, "10s", 0, DAY, "How long it lasts.");
        may(
                "failure[].hazard",
                NUMBER,
                "0",
                0,
                100_000,
                "How often an hour it begins, each time elsewhere; 0 for once.");
        may("failure[].share", NUMBER, "1", 0, 1, "The share of partners, or relays, that it strikes.");
        may("failure[].group", NAME, null, 0, ANY, "The group that it strikes; all if left out.");
        may("failure[].building", NAME, null, 0, ANY, "The building that it strikes; all if left out.");
        may("failure[].factor", NUMBER, "5", 1, 10_000, "slow, leak: how many times as long calls take.");
        may(
                "failure[].part",
                NUMBER,
                "1",
                0,
                1,
                "errors: the part of the calls that fail; limits: the part of its limit that a partner keeps.");
    }
}
