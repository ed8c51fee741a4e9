package loftflow.experiment.scenario;

import java.util.List;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.Tenant;
import loftflow.policy.api.Zone;

/** Translates a scenario into the settings of a relay's decision module. */
public final class RelayPolicySettings {
    /** Distance between the seeds of two relays. */
    private static final long RELAY_SEED_STEP = 7919;

    private RelayPolicySettings() {}

    /** The settings of one relay, by its number. */
    public static PolicySettings of(
            Scenario scenario, int relay, long seed, Scenario.Layout layout, RuleLimits limits) {
        return new PolicySettings(
                seed + relay * RELAY_SEED_STEP,
                relay,
                scenario.fleet().relays(),
                scenario.relayZone(relay, layout),
                scenario.classes().stream()
                        .map(RelayPolicySettings::requestClass)
                        .toList(),
                scenario.tenants().stream()
                        .map(tenant -> new Tenant(tenant.name(), tenant.quotaPerSecond()))
                        .toList(),
                destinationKinds(scenario),
                layout.zones().stream().map(zone -> new Zone(zone, 0)).toList(),
                relayLimits(scenario, limits),
                serviceRules(scenario, limits),
                limits.overQuotaWeight(),
                false,
                false,
                RateHint.NONE,
                0);
    }

    private static RequestClass requestClass(Scenario.MessageClass messageClass) {
        return new RequestClass(
                messageClass.name(),
                messageClass.idempotency(),
                messageClass.keysByZone() ? KeyScope.ZONE : KeyScope.ALL,
                messageClass.keyWindowMicros(),
                messageClass.latencyObjectiveMicros(),
                messageClass.deadlineMicros(),
                messageClass.priorityWeight(),
                messageClass.lateWeight(),
                false);
    }

    private static List<DestinationKind> destinationKinds(Scenario scenario) {
        return scenario.groups().stream()
                .map(group -> new DestinationKind(group.kind(), group.independentRoutes(), group.maxBatchSize()))
                .distinct()
                .toList();
    }

    private static RelayLimits relayLimits(Scenario scenario, RuleLimits limits) {
        return new RelayLimits(
                scenario.fleet().concurrentCalls(),
                scenario.fleet().bufferedMessages(),
                limits.maxAttempts(),
                true,
                true,
                false,
                false,
                true,
                limits.connectTimeoutMicros());
    }

    private static ServiceRules serviceRules(Scenario scenario, RuleLimits limits) {
        double coldCapacityShare = scenario.groups().stream()
                .mapToDouble(Scenario.PartnerGroup::coldCapacityShare)
                .min()
                .orElse(1);
        long warmUpMicros = scenario.groups().stream()
                .mapToLong(Scenario.PartnerGroup::warmUpMicros)
                .max()
                .orElse(0);
        return new ServiceRules(
                0,
                limits.drainGraceMicros(),
                limits.collapseLoadFactor(),
                limits.collapseWindowMicros(),
                coldCapacityShare,
                warmUpMicros,
                0,
                0);
    }
}
