package loftflow.policy.api;

/** How far the rates listed by discovery are trusted. */
public enum RateHint {
    /** Listed rates are ignored. */
    NONE,
    /** Listed rates are exact. */
    NOMINAL,
    /** Listed rates may be too high or too low by up to half. */
    ROUGH
}
