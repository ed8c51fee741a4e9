package loftflow.policy.api;

/** A zone and the price of an attempt that a route apart takes on there. */
public record Zone(String name, double cost) {}
