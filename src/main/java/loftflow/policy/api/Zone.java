package loftflow.policy.api;

/**
 * A zone.
 *
 * @param cost cost of an attempt at an independent route in this zone; 0 if there is none
 */
public record Zone(String name, double cost) {}
