package loftflow.policy.api;

/**
 * A kind of destination.
 *
 * @param independentRoutes true if each endpoint is a route with its own limit, circuit and outages
 * @param maxBatchSize maximum number of messages per call, 1 or more
 */
public record DestinationKind(String name, boolean independentRoutes, int maxBatchSize) {}
