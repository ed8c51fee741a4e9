package loftflow.policy.api;

/**
 * A zone.
 *
 * @param cost of an attempt at an independent route in it; 0 where there is none
 */
public record Zone(String name, double cost) {}
