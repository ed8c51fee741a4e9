package loftflow.warmstart;

import loftflow.policy.api.TrustLevel;

/** How far a remembered endpoint is believed to be what it was. */
public enum EndpointTrust {
    /** Like one that discovery has just listed, at the pace of a fleet that starts together. */
    AS_LISTED,
    /** A check, or one message where there are none, before anything else. */
    TRY_FIRST,
    /** As above, and only where the destination has nothing else left. */
    LAST,
    /** Nothing, until discovery says otherwise. */
    NEVER;

    /** What the decision module is told; {@link #NEVER} is not told at all. */
    public TrustLevel belief() {
        return switch (this) {
            case AS_LISTED -> TrustLevel.AS_LISTED;
            case TRY_FIRST -> TrustLevel.PROBE_FIRST;
            case LAST -> TrustLevel.LAST_RESORT;
            case NEVER -> throw new IllegalStateException("an endpoint that is never used is not listed");
        };
    }
}
