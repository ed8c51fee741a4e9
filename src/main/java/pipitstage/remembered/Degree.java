package pipitstage.remembered;

import pipitstage.Policy;

/** How far a remembered endpoint is believed to be what it was. */
public enum Degree {
    /** Like one that discovery has just listed, at the pace of a fleet that starts together. */
    AS_LISTED,
    /** A check, or one message where there are none, before anything else. */
    TRY_FIRST,
    /** As above, and only where the destination has nothing else left. */
    LAST,
    /** Nothing, until discovery says otherwise. */
    NEVER;

    /** What the decision module is told; {@link #NEVER} is not told at all. */
    public Policy.Belief belief() {
        return switch (this) {
            case AS_LISTED -> Policy.Belief.AS_LISTED;
            case TRY_FIRST -> Policy.Belief.TRY_FIRST;
            case LAST -> Policy.Belief.LAST;
            case NEVER -> throw new IllegalStateException("an endpoint that is never used is not listed");
        };
    }
}
