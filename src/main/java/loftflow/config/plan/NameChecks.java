package loftflow.config.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.schema.TableReader;

/** Checks that what is needed is declared, that names are unique, and that kinds are used. */
final class NameChecks extends ConsistencyCheck {
    NameChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        checkExistence();
        checkUniqueness();
        checkRelayNumber();
        checkTenantRates();
        checkUnusedKinds();
    }

    private void checkExistence() {
        if (declared.listeners().isEmpty() && declared.amqp().queues().isEmpty()) {
            error(declared.at(), "front", "no front: nobody could hand a message in; add a [[front]]");
        }
        if (declared.classes().isEmpty()) {
            error(declared.at(), "class", "no class of messages: add a [[class]]");
        }
        if (declared.destinations().isEmpty() && declared.discovery().agentAddress() == null) {
            error(
                    declared.at(),
                    "partner",
                    "no partner and no discovery.agent: there is nobody to" + " call; add a [[partner]] or the agent");
        }
    }

    private void checkUniqueness() {
        unique(declared.classes(), c -> c.name(), c -> c.table(), "name");
        unique(declared.tenants(), t -> t.name(), t -> t.table(), "name");
        unique(declared.destinations(), p -> p.name(), p -> p.table(), "name");
        unique(declared.destinations(), p -> Integer.toString(p.number()), p -> p.table(), "number");
        unique(declared.kinds(), k -> k.name(), k -> k.table(), "name");
        unique(declared.endpoints(), e -> e.id(), e -> e.table(), "id");
        unique(declared.endpoints(), NameChecks::destination, e -> e.table(), "address");
        unique(declared.amqp().brokers(), b -> b.name(), b -> b.table(), "name");
        unique(declared.amqp().queues(), q -> q.name(), q -> q.table(), "name");
        unique(
                declared.listeners().stream()
                        .filter(Declaration.Listener::isAmqp)
                        .toList(),
                f -> f.name(),
                f -> f.table(),
                "name");
    }

    /** The address of an endpoint; at a broker, exchange and routing key belong to it. */
    private static String destination(Declaration.Endpoint endpoint) {
        return endpoint.broker() == null
                ? endpoint.address()
                : endpoint.address() + " with exchange \"" + endpoint.exchange() + "\" and routing key \""
                        + endpoint.routingKey() + "\"";
    }

    private void checkRelayNumber() {
        if (declared.fleet().relayIndex() >= declared.fleet().size()) {
            error(
                    declared.fleet().table(),
                    "number",
                    declared.fleet().relayIndex() + " is beyond the last relay: with " + "fleet.relays = "
                            + declared.fleet().size() + " they are numbered from 0 to "
                            + (declared.fleet().size() - 1));
        }
    }

    /** Warns if the tenants' rates add up to less than the peak rate, since the excess counts as over quota. */
    private void checkTenantRates() {
        double tenantRates = declared.tenants().stream()
                .mapToDouble(Declaration.Tenant::quotaPerSecond)
                .sum();
        double peakRate = declared.peakRate();
        boolean allLimited =
                !declared.tenants().isEmpty() && declared.tenants().stream().allMatch(t -> t.quotaPerSecond() > 0);
        if (allLimited && tenantRates < peakRate) {
            warn(
                    declared.tenants().get(0).table(),
                    "rate",
                    "all tenants together have " + Units.formatRate(tenantRates) + ", and the classes'"
                            + " peak-rate add up to " + Units.formatRate(peakRate)
                            + ": what is beyond a share counts for less");
        }
    }

    private void checkUnusedKinds() {
        Set<String> used = new HashSet<>();
        declared.destinations().forEach(p -> used.add(p.kind()));
        for (Declaration.DestinationKind kind : declared.kinds()) {
            if (!used.contains(kind.name()) && declared.discovery().agentAddress() == null) {
                warn(kind.table(), "name", "no partner is of kind " + kind.name());
            }
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
}
