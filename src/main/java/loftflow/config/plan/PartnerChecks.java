package loftflow.config.plan;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.Destination;
import loftflow.config.plan.Declaration.MessageClass;

/** Checks partners and kinds, and whether rate limits suffice for the declared traffic. */
final class PartnerChecks extends ConsistencyCheck {
    /** Size of a call up to which messages are batched. */
    private static final long MAX_BATCH_BYTES = 64 << 10;

    PartnerChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        checkPartners();
        checkKinds();
        checkRates();
    }

    private void checkPartners() {
        boolean discovered = declared.discovery().agentAddress() != null;
        for (Destination partner : declared.destinations()) {
            if (partner.endpoints().isEmpty() && !discovered) {
                error(
                        partner.table(),
                        "endpoint",
                        "none, and there is no discovery.agent to tell one; add a" + " [[partner.endpoint]]");
            }
            if (declared.classes().stream().noneMatch(c -> c.goesTo(partner.kind()))) {
                warn(partner.table(), "kind", "no class goes to kind " + partner.kind());
            }
            if (partner.table().has("limit") && partner.limitPerSecond() <= 0) {
                error(
                        partner.table(),
                        "limit",
                        "0/s means that the partner takes nothing; leave it out if it is unknown");
            }
        }
    }

    private void checkKinds() {
        for (Declaration.DestinationKind kind : declared.kinds()) {
            if (derived.upstreamIdleTimeoutMicros() > kind.idleTimeoutMicros()) {
                derivedError(
                        "calls.idle",
                        duration(derived.upstreamIdleTimeoutMicros()) + " is longer than kind " + kind.name()
                                + " keeps idle"
                                + " connections (" + duration(kind.idleTimeoutMicros())
                                + "): calls on them would end as resets; lower it");
            }
            long largest = declared.classes().stream()
                    .filter(c -> c.goesTo(kind.name()))
                    .mapToLong(MessageClass::bodyBytes)
                    .max()
                    .orElse(0);
            if (kind.maxBatchSize() > 1 && largest * 4 / 3 > MAX_BATCH_BYTES) {
                warn(
                        kind.table(),
                        "batch",
                        kind.maxBatchSize() + " messages of " + Units.formatSize(largest) + " don't fit into one"
                                + " call of 64KiB, so that each travels alone");
            }
        }
    }

    /**
     * Compares declared rates with partners' rate limits: for every set of kinds that some class is restricted to, the
     * classes that can go nowhere else with the limits of the partners in the set.
     */
    private void checkRates() {
        Set<Set<String>> kindSets = new LinkedHashSet<>();
        Set<String> all = new LinkedHashSet<>(declared.kindNames());
        for (MessageClass messageClass : declared.classes()) {
            kindSets.add(
                    messageClass.destinationKinds() == null
                            ? all
                            : new LinkedHashSet<>(messageClass.destinationKinds()));
        }
        for (Set<String> kinds : kindSets) {
            List<Destination> partners = declared.destinations().stream()
                    .filter(p -> kinds.contains(p.kind()))
                    .toList();
            List<MessageClass> bound = declared.classes().stream()
                    .filter(c -> kinds.containsAll(c.destinationKinds() == null ? all : c.destinationKinds()))
                    .toList();
            if (partners.isEmpty() || partners.stream().anyMatch(p -> p.limitPerSecond() <= 0)) {
                continue;
            }
            double limit = partners.stream()
                    .mapToDouble(p -> p.limitPerSecond() * maxBatchSize(p))
                    .sum();
            double rate =
                    bound.stream().mapToDouble(MessageClass::peakRatePerSecond).sum();
            if (rate > limit) {
                error(
                        bound.get(0).table(),
                        "peak-rate",
                        "at their peak, "
                                + bound.stream().map(MessageClass::name).collect(Collectors.joining(", ")) + " bring "
                                + Units.formatRate(rate) + " together, and the"
                                + " partners that they go to take " + Units.formatRate(limit)
                                + "; lower the rate or raise a limit");
            }
        }
    }

    private int maxBatchSize(Destination partner) {
        return declared.kindOf(partner).maxBatchSize();
    }
}
