package loftflow.policy.api;

/** Availability of an endpoint in a list. */
public enum Availability {
    /** Accepts new work. */
    LISTED,
    /** Completes work in progress and accepts no new work. */
    DRAINING,
    /** No longer exists; appears only in a {@link EndpointListKind#DELTA}. */
    REMOVED
}
