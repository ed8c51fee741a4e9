package loftflow.policy.api;

/** Trust in a route that is known from a list from before a restart. */
public enum TrustLevel {
    /** Trusted like a newly listed route. */
    AS_LISTED,
    /** Used after a successful probe. */
    PROBE_FIRST,
    /** Used after a successful probe, and only if its destination has no other route. */
    LAST_RESORT
}
