package loftflow.policy.api;

import java.util.List;

/** Everything a module is told at its start. */
public record PolicySettings(
        long seed,
        int relayIndex,
        int fleetSize,
        String zone,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<DestinationKind> kinds,
        List<Zone> zones,
        RelayLimits limits,
        ServiceRules rules,
        double overQuotaWeight,
        boolean halvingDecay,
        boolean mustSubscribe,
        RateHint rateHint,
        double crossZoneCost) {
    public PolicySettings {
        Preconditions.require(!classes.isEmpty(), "classes: at least one is needed");
        Preconditions.require(fleetSize > 0, "fleetSize: must be above 0");
        Preconditions.require(rules.overloadMultiple() > 0, "fallMultiple: must be above 0");
    }
}
