package loftflow.policy.api;

/** Kind of an endpoint list. */
public enum EndpointListKind {
    /** The complete current list; endpoints that it does not name no longer exist. */
    FULL,
    /** The complete list as last known to this relay, possibly out of date. */
    CACHED,
    /** Changed entries only. */
    DELTA,
    /** No list: the request for it, or the subscription to it, failed. */
    FAILED
}
