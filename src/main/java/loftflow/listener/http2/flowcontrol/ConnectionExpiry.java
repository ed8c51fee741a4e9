package loftflow.listener.http2.flowcontrol;

/** When a connection has stood long enough: it never opened, nothing moves, its client does not read, or it is old. */
public final class ConnectionExpiry {
    /**
     * Spans in microseconds.
     *
     * @param opening until the client's first SETTINGS
     * @param idle with no stream open
     * @param age of a connection, so that clients find their way to new relays; 0 for any
     * @param stall while the client reads nothing of what waits for it
     */
    public record Spans(long opening, long idle, long age, long stall) {}

    /** What is to become of it. */
    public enum Verdict {
        STAYS,
        /** It goes in good order ({@link GracefulGoAway}). */
        GOES,
        /** GOAWAY and an end at once: nobody there reads, or speaks. */
        ENDS
    }

    private final Spans spans;
    private final long opened;
    private final long age;
    private boolean spoke;
    private long idleSince;
    private long stuckSince = -1;

    /**
     * A connection that has just come.
     *
     * @param spread from 0 to 1: by how much of a tenth its age ends earlier, so that many that came at once don't go
     *     at once
     */
    public ConnectionExpiry(Spans spans, long now, double spread) {
        this.spans = spans;
        opened = now;
        idleSince = now;
        age = spans.age() == 0 ? Long.MAX_VALUE : (long) (spans.age() * (1 - spread / 10));
    }

    /** Its client has sent its preface and its settings. */
    public void spoke(long now) {
        spoke = true;
        idleSince = now;
    }

    /** Streams have opened or ended. */
    public void busy(boolean busy, long now) {
        idleSince = busy ? Long.MAX_VALUE : now;
    }

    /**
     * Looks at it.
     *
     * @param stuck whether so much waits to be read by the client that nothing more should be written
     */
    public Verdict look(long now, boolean stuck) {
        if (!spoke) {
            return now - opened >= spans.opening() ? Verdict.ENDS : Verdict.STAYS;
        }
        if (!stuck) {
            stuckSince = -1;
        } else if (stuckSince < 0) {
            stuckSince = now;
        }
        if (stuck && now - stuckSince >= spans.stall()) {
            return Verdict.ENDS;
        }
        boolean idle = idleSince != Long.MAX_VALUE && now - idleSince >= spans.idle();
        return idle || now - opened >= age ? Verdict.GOES : Verdict.STAYS;
    }
}
