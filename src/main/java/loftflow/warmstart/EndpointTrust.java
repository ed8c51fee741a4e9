package loftflow.warmstart;

import loftflow.policy.api.TrustLevel;

/** Level of trust that a restored endpoint is still the one that the snapshot describes. */
public enum EndpointTrust {
    /** Used like an endpoint that discovery has just listed, at the reduced rate of a simultaneous fleet start. */
    AS_LISTED,
    /** Used after one successful probe, or one message if probes are disabled. */
    PROBE_FIRST,
    /** As {@link #PROBE_FIRST}, and only if the destination has no other endpoint. */
    LAST_RESORT,
    /** Not used until discovery lists it again. */
    NEVER;

    /**
     * Returns the corresponding level of the decision module.
     *
     * @throws IllegalStateException for {@link #NEVER}: such an endpoint is not passed to the decision module
     */
    public TrustLevel toTrustLevel() {
        return switch (this) {
            case AS_LISTED -> TrustLevel.AS_LISTED;
            case PROBE_FIRST -> TrustLevel.PROBE_FIRST;
            case LAST_RESORT -> TrustLevel.LAST_RESORT;
            case NEVER -> throw new IllegalStateException("an endpoint with trust NEVER has no trust level");
        };
    }
}
