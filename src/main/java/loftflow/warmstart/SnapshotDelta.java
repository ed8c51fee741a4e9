package loftflow.warmstart;

import java.util.List;

/**
 * What must not wait for the next picture, since a start that did not know it would do harm.
 *
 * @param id the endpoint; empty for all of them
 * @param at microseconds of the relay's own time: when it was so, or until when the wait is
 */
public record SnapshotDelta(Kind kind, String id, long at) {
    /** What is noted. */
    public enum Kind {
        /** Removed, or draining. */
        GONE,
        /** Struck out by this relay. */
        STRUCK,
        /** It told this relay to wait until then. */
        WAIT,
        /** It went out of service by what calls tell. */
        DOWN,
        /** It served again. */
        BACK,
        /** More was told than might be written: any endpoint may be gone or out, and any may wait until then. */
        LOST
    }

    /** One note in place of several that may not be written: what it says holds whatever they say. */
    public static SnapshotDelta inPlaceOf(List<SnapshotDelta> notes) {
        long until = notes.stream()
                .filter(n -> n.kind() == Kind.WAIT || n.kind() == Kind.LOST)
                .mapToLong(SnapshotDelta::at)
                .max()
                .orElse(0);
        return new SnapshotDelta(Kind.LOST, "", until);
    }
}
