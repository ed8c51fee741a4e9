package loftflow.policy.api;

/** State of an endpoint in a list. */
public enum Availability {
    /** Takes new work. */
    LISTED,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Is gone; appears among changes only. */
    REMOVED
}
