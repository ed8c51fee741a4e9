package loftflow.policy.api;

/** What the rate listed with a route is worth: nothing, exact, or up to half too high or too low. */
public enum RateHint {
    NONE,
    NOMINAL,
    ROUGH
}
