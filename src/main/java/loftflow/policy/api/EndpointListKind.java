package loftflow.policy.api;

/** What an endpoint list holds. */
public enum EndpointListKind {
    /** The whole list as it is now; endpoints that it does not name are gone. */
    FULL,
    /** The whole list as this relay last had it, possibly out of date. */
    CACHED,
    /** Changed entries only. */
    DELTA,
    /** Nothing: the request for the list, or the subscription to it, failed. */
    FAILED
}
