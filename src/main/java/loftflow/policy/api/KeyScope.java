package loftflow.policy.api;

/** The routes of a destination that discard a repeat with the same key. */
public enum KeyScope {
    /** All routes. */
    ALL,
    /** The routes in the zone of the first attempt. */
    ZONE,
    /** Only the route of the first attempt. */
    CELL
}
