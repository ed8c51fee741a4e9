package loftflow.policy.api;

/** A tenant and the requests a second, over all relays, that count as its share. */
public record Tenant(String name, double quotaPerSecond) {}
