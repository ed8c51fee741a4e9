package loftflow.policy.api;

/**
 * A tenant.
 *
 * @param quotaPerSecond messages per second over all relays that count with their full weight
 */
public record Tenant(String name, double quotaPerSecond) {}
