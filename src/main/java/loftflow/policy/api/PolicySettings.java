package loftflow.policy.api;

import java.util.List;

/**
 * Settings of a policy, fixed for its lifetime.
 *
 * @param seed determines every random choice
 * @param relayIndex index of this relay in its fleet, from 0
 * @param fleetSize number of relays that share the destinations, 1 or more
 * @param zone name of this relay's zone
 * @param overQuotaWeight factor on the weight of messages beyond their tenant's quota
 * @param halvingDecay true if weights halve with each further latency objective, false if they fall linearly to the
 *     deadline
 * @param mustSubscribe true if the policy has to subscribe to the endpoint list
 * @param crossZoneCost cost of an attempt in another zone
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
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a setting is out of bounds
     */
    public PolicySettings {
        Preconditions.require(!classes.isEmpty(), "classes: at least one is needed");
        Preconditions.require(fleetSize > 0, "fleetSize: " + fleetSize + ", must be above 0");
        Preconditions.require(
                rules.overloadMultiple() > 0, "overloadMultiple: " + rules.overloadMultiple() + ", must be above 0");
    }
}
