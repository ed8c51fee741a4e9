package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.Zone;

/**
 * What an experiment plays. Spans are in microseconds, rates a second. Made by {@link ScenarioReader}, which checks
 * what is in
 * it; changed by {@code with...} for parts of it.
 *
 * @param span how long clients hand messages in
 * @param load multiplies every rate of arrival
 */
public record Scenario(
        String name,
        String text,
        long span,
        double load,
        Fleet fleet,
        Clients clients,
        Network network,
        List<MessageClass> classes,
        List<Tenant> tenants,
        List<Group> groups,
        List<Failure> failures) {
    /** How many parts of a draw's result stay apart from what others draw. */
    private static final long STEP = 7919;

    public Scenario {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        groups = List.copyOf(groups);
        failures = List.copyOf(failures);
    }

    /**
     * The relays.
     *
     * @param skew 0 for the same traffic at each; the relay with the number n gets a part like 1 / (n + 1) ^ skew
     * @param slots calls that a relay may have out at once
     * @param messages that a relay may hold
     * @param round how long a relay gathers what comes in
     * @param restart from a relay's death until it serves again
     */
    public record Fleet(int relays, double skew, int slots, int messages, long round, long restart) {}

    /**
     * The programs that hand messages in.
     *
     * @param repeats how often a message is handed in again that was refused
     * @param pause before that; a longer time that the relay told is heeded
     * @param clumped share of the messages that come in clumps for one partner
     * @param clump messages in a clump
     * @param ramp rates rise evenly from nothing to the full in so long; 0 where they are full at once
     * @param backlog messages that are handed in at once when the run begins
     */
    public record Clients(int repeats, long pause, double clumped, int clump, long ramp, int backlog) {}

    /** One way between a relay and an endpoint, in the same building or across. */
    public record Network(long inside, long across) {}

    /**
     * A class of messages; {@code rate} is that of all relays together, {@code to} is null where it goes to all kinds.
     */
    public record MessageClass(
            String name,
            Idempotency repeat,
            long keyWindow,
            boolean keysByBuilding,
            long wanted,
            long deadline,
            double worth,
            double lateWorth,
            double rate,
            List<String> to) {
        /** True where messages go to partners of that kind. */
        public boolean goesTo(String kind) {
            return to == null || to.contains(kind);
        }
    }

    /** Whoever messages are sent for: a share of the traffic, and the rate that counts as its own; 0 for any. */
    public record Tenant(String name, double share, double rate) {}

    /**
     * Partners that are alike.
     *
     * @param weight of the traffic, beside the other groups
     * @param skew of it within the group, as with the fleet's
     * @param capacity calls a second that one endpoint can do
     * @param limit calls a second that a partner, or each endpoint where routes are apart, takes from all relays; 0 for
     *     none
     * @param told whether the limit is told in answers
     * @param refusalsCount whether calls that are refused use the limit up as well
     * @param response mean time of a call in microseconds, spread by a log-normal distribution with {@code spread} as
     *     sigma
     * @param queue calls that may wait at an endpoint
     * @param toldWait that a refusal tells; 0 for none
     * @param coldFrom share of its capacity with which an endpoint returns, and the span until it is warm
     */
    public record Group(
            String name,
            String kind,
            int partners,
            int endpoints,
            List<String> buildings,
            double weight,
            double skew,
            double capacity,
            double limit,
            boolean told,
            boolean refusalsCount,
            long response,
            double spread,
            int queue,
            long toldWait,
            int batch,
            boolean routesApart,
            double coldFrom,
            long warmUp) {}

    /** What goes wrong. */
    public enum Kind {
        /** Connections are refused. */
        DOWN(true),
        /** Every call is refused as full, and nothing runs. */
        SHUT(true),
        /** Calls are taken and never answered. */
        SILENT(true),
        /** A share of the calls is answered as failed. */
        ERRORS(true),
        /** Calls take so many times as long. */
        SLOW(true),
        /** Calls take longer and longer, up to so many times, from the beginning to the end. */
        LEAK(true),
        /** Endpoints are listed as draining, and are gone at the end. */
        DRAIN(true),
        /** Partners take a part of their limits alone. */
        LIMITS(true),
        /** Relays die, and come back after the fleet's restart. */
        RELAYS_DIE(false),
        /** The same, a tenth of them after the other, evenly over its span. */
        RELAYS_ROLL(false),
        /** Discovery tells nothing. */
        DISCOVERY(false);

        private final boolean ofEndpoints;

        Kind(boolean ofEndpoints) {
            this.ofEndpoints = ofEndpoints;
        }

        /** True where it strikes endpoints. */
        public boolean isOfEndpoints() {
            return ofEndpoints;
        }

        /** True where a part says how much of something fails, or is left. */
        public boolean hasPart() {
            return this == ERRORS || this == LIMITS;
        }

        /** True where an endpoint that was struck comes back cold. */
        public boolean returnsCold() {
            return this == DOWN || this == SHUT || this == SILENT;
        }
    }

    /**
     * Something that goes wrong together.
     *
     * @param at when it begins; with a rate of hazard only the earliest time
     * @param hazard how often an hour it begins anew, each time elsewhere; 0 for once, at {@code at}
     * @param share of the partners, or relays, that are struck
     * @param group null for all groups
     * @param building null for all buildings
     * @param factor of slowness
     * @param part of the calls that fail, or of a limit that is left
     */
    public record Failure(
            Kind kind,
            long at,
            long lasts,
            double hazard,
            double share,
            String group,
            String building,
            double factor,
            double part) {}

    /** An endpoint of a partner; its place in {@link Layout#endpoints} is its number. */
    public record Endpoint(int number, int partner, String building) {
        /** Its name in lists. */
        public String route() {
            return "e" + number;
        }
    }

    /** A partner; its place in {@link Layout#partners} is its number. */
    public record Partner(int number, Group group, double weight, List<Endpoint> endpoints) {}

    /** All partners and endpoints, and the buildings that they stand in. */
    public record Layout(List<Partner> partners, List<Endpoint> endpoints, List<String> buildings) {}

    /** The partners one by one. */
    public Layout layout() {
        List<Partner> partners = new ArrayList<>();
        List<Endpoint> all = new ArrayList<>();
        Set<String> buildings = new LinkedHashSet<>();
        for (Group group : groups) {
            double[] weights = weights(group.partners(), group.skew());
            for (int i = 0; i < group.partners(); i++) {
                List<Endpoint> own = new ArrayList<>();
                for (int k = 0; k < group.endpoints(); k++) {
                    String building =
                            group.buildings().get((i + k) % group.buildings().size());
                    buildings.add(building);
                    own.add(new Endpoint(all.size(), partners.size(), building));
                    all.add(own.get(k));
                }
                partners.add(new Partner(partners.size(), group, group.weight() * weights[i], List.copyOf(own)));
            }
        }
        return new Layout(List.copyOf(partners), List.copyOf(all), List.copyOf(buildings));
    }

    /** Parts that add up to 1, the n-th like 1 / (n + 1) ^ skew. */
    public static double[] weights(int count, double skew) {
        double[] weights = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1, -skew);
            sum += weights[i];
        }
        for (int i = 0; i < count; i++) {
            weights[i] /= sum;
        }
        return weights;
    }

    /** What a relay's decision module is told at its start. */
    public PolicySettings settings(int relay, long seed, Layout layout, Rules rules) {
        return new PolicySettings(
                seed + relay * STEP,
                relay,
                fleet.relays(),
                building(relay, layout),
                classes.stream()
                        .map(c -> new RequestClass(
                                c.name(),
                                c.repeat(),
                                c.keysByBuilding() ? KeyScope.ZONE : KeyScope.ALL,
                                c.keyWindow(),
                                c.wanted(),
                                c.deadline(),
                                c.worth(),
                                c.lateWorth(),
                                false))
                        .toList(),
                tenants.stream()
                        .map(t -> new loftflow.policy.api.Tenant(t.name(), t.rate()))
                        .toList(),
                groups.stream()
                        .map(g -> new DestinationKind(g.kind(), g.routesApart(), g.batch()))
                        .distinct()
                        .toList(),
                layout.buildings().stream().map(b -> new Zone(b, 0)).toList(),
                new RelayLimits(
                        fleet.slots(),
                        fleet.messages(),
                        rules.attempts(),
                        true,
                        true,
                        false,
                        false,
                        true,
                        rules.connectTimeout()),
                new ServiceRules(
                        0, rules.drainGrace(), rules.fallMultiple(), rules.fallSpan(), coldFrom(), warmUp(), 0, 0),
                rules.overShare(),
                false,
                false,
                RateHint.NONE,
                0);
    }

    /** Where a relay stands. */
    public String building(int relay, Layout layout) {
        return layout.buildings().get(relay % layout.buildings().size());
    }

    private double coldFrom() {
        return groups.stream().mapToDouble(Group::coldFrom).min().orElse(1);
    }

    private long warmUp() {
        return groups.stream().mapToLong(Group::warmUp).max().orElse(0);
    }

    /**
     * Figures of the rules that bind every run.
     *
     * @param fallMultiple a cold endpoint that gets so many times what it can do for {@code fallSpan} falls, and stays
     *     down
     * @param overShare what traffic beyond a tenant's share is worth
     */
    public record Rules(
            long drainGrace,
            double fallMultiple,
            long fallSpan,
            long endSlack,
            double overShare,
            int attempts,
            long connectTimeout) {
        /** As the users state them. */
        public static final Rules USUAL = new Rules(500_000, 2.5, 2_000_000, 300_000, 0.1, 12, 1_500_000);
    }

    /** One way between a relay and an endpoint, in microseconds. */
    public long way(int relay, Endpoint endpoint, Layout layout) {
        return building(relay, layout).equals(endpoint.building()) ? network.inside() : network.across();
    }

    /** So long after the last message may be handed in something can still come of one, its repeats included. */
    public long patience() {
        long longest = classes.stream().mapToLong(MessageClass::deadline).max().orElse(0);
        return (clients.repeats() + 1) * (longest + clients.pause());
    }

    /** The same with other failures. */
    public Scenario withFailures(List<Failure> others) {
        return new Scenario(name, text, span, load, fleet, clients, network, classes, tenants, groups, others);
    }

    /** The same with other groups of partners. */
    public Scenario withGroups(List<Group> others) {
        return new Scenario(name, text, span, load, fleet, clients, network, classes, tenants, others, failures);
    }

    /** The same with other classes. */
    public Scenario withClasses(List<MessageClass> others) {
        return new Scenario(name, text, span, load, fleet, clients, network, others, tenants, groups, failures);
    }

    /** The same with other programs before it: their classes and tenants. */
    public Scenario withPrograms(List<MessageClass> otherClasses, List<Tenant> otherTenants) {
        return new Scenario(
                name, text, span, load, fleet, clients, network, otherClasses, otherTenants, groups, failures);
    }

    /** The same for another span, with so many times the load. */
    public Scenario withSpan(long otherSpan, double otherLoad) {
        return new Scenario(
                name, text, otherSpan, otherLoad, fleet, clients, network, classes, tenants, groups, failures);
    }

    /** The same with another fleet. */
    public Scenario withFleet(Fleet other) {
        return new Scenario(name, text, span, load, other, clients, network, classes, tenants, groups, failures);
    }
}
