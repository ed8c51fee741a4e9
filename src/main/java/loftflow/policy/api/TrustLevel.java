package loftflow.policy.api;

/** How far a route from a list of before a restart is trusted. */
public enum TrustLevel {
    /** Like one that was just listed. */
    AS_LISTED,
    /** After a successful probe. */
    PROBE_FIRST,
    /** After a successful probe, and only where its destination has nothing else. */
    LAST_RESORT
}
