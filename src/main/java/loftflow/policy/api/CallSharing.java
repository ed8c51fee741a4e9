package loftflow.policy.api;

import java.util.Collection;

/** With which other attempts an attempt may travel in one call. */
public enum CallSharing {
    /** With none. */
    NONE,
    /** With every attempt that may share a call. */
    ANY,
    /**
     * Not with one that is {@link #UNTIL_DEADLINE}: its message is sent again after the timeout, which requires that
     * its call has ended.
     */
    UNTIL_TIMEOUT,
    /** Its response is awaited until the deadline of its message, so that its call does not end at a timeout. */
    UNTIL_DEADLINE;

    /** Returns whether an attempt with this value may travel with others. */
    public boolean isCompatibleWithAll(Collection<CallSharing> others) {
        return others.stream().allMatch(this::isCompatibleWith);
    }

    private boolean isCompatibleWith(CallSharing other) {
        boolean mayShare = this != NONE && other != NONE;
        boolean mayEndTogether = this == other || this == ANY || other == ANY;
        return mayShare && mayEndTogether;
    }
}
