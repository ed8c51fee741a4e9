package loftflow.policy.api;

/** State of a route in a list. */
public enum Availability {
    LISTED,
    DRAINING,
    REMOVED
}
