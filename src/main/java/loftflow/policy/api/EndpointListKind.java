package loftflow.policy.api;

/** What a route list holds: the whole list now, the last one known, changes, or news of a failed call. */
public enum EndpointListKind {
    FULL,
    CACHED,
    DELTA,
    FAILED
}
