package loftflow.policy.api;

/** How far a route of an old list is believed: as one just listed, after a test, after a test if nothing is left. */
public enum TrustLevel {
    AS_LISTED,
    PROBE_FIRST,
    LAST_RESORT
}
