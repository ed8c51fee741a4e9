package loftflow.policy.api;

/**
 * A kind of destination.
 *
 * @param independentRoutes each endpoint is a route with a limit, a circuit and outages of its own
 * @param maxBatchSize the most messages that travel in one call, 1 or more
 */
public record DestinationKind(String name, boolean independentRoutes, int maxBatchSize) {}
