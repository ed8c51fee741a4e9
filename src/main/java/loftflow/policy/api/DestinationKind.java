package loftflow.policy.api;

/** A kind of destination. {@code batch} is the most requests that travel in one call. */
public record DestinationKind(String name, boolean independentRoutes, int maxBatchSize) {}
