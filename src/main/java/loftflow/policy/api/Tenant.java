package loftflow.policy.api;

/**
 * A tenant.
 *
 * @param quotaPerSecond messages a second, over all relays, that count in full
 */
public record Tenant(String name, double quotaPerSecond) {}
