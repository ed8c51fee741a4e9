package loftflow.policy.api;

/** Which routes of a destination drop a repeat with the same key. */
public enum KeyScope {
    /** All of them. */
    ALL,
    /** Those in the zone of the first attempt. */
    ZONE,
    /** The route of the first attempt alone. */
    CELL
}
