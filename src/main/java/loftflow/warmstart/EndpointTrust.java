package loftflow.warmstart;

import loftflow.policy.api.TrustLevel;

/** How far a restored endpoint is trusted to be what it was when the snapshot was taken. */
public enum EndpointTrust {
    /** Used like an endpoint that discovery has just listed, at the pace of a fleet that starts together. */
    AS_LISTED,
    /** Used after one successful probe, or one message where probes are off. */
    PROBE_FIRST,
    /** As {@link #PROBE_FIRST}, and only where the destination has no other endpoint. */
    LAST_RESORT,
    /** Not used until discovery lists it again. */
    NEVER;

    /**
     * The level that the decision module receives.
     *
     * @throws IllegalStateException for {@link #NEVER}: such an endpoint is not passed on at all
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
