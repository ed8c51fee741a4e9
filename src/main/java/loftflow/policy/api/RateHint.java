package loftflow.policy.api;

/** How far the rates that discovery lists are to be trusted. */
public enum RateHint {
    /** Not at all. */
    NONE,
    /** They are exact. */
    NOMINAL,
    /** They may be up to half too high or too low. */
    ROUGH
}
