package loftflow.policy.api;

import java.util.List;

/**
 * What a policy is given at its start.
 *
 * @param seed determines every random choice
 * @param relayIndex of this relay in its fleet, from 0
 * @param fleetSize how many relays share the destinations, 1 or more
 * @param zone where this relay stands
 * @param overQuotaWeight share of a message's weight that counts beyond its tenant's quota
 * @param halvingDecay weights halve with each further latency objective, in place of falling evenly to the deadline
 * @param mustSubscribe the policy has to subscribe to the endpoint list
 * @param crossZoneCost of an attempt in another zone
 */
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
    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException where one is out of its bounds
     */
    public PolicySettings {
        Preconditions.require(!classes.isEmpty(), "classes: at least one is needed");
        Preconditions.require(fleetSize > 0, "fleetSize: " + fleetSize + ", must be above 0");
        Preconditions.require(
                rules.overloadMultiple() > 0, "overloadMultiple: " + rules.overloadMultiple() + ", must be above 0");
    }
}
