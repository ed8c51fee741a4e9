package loftflow.listener.http2.flowcontrol;

/**
 * How a connection ends in good order (RFC 9113, 6.8): a first GOAWAY with the highest id lets everything on its way
 * still
 * come, a second one, after a round trip, names the last stream that was taken. What is above it was never taken; what
 * is
 * open finishes, and the connection closes with the last answer or at the stated time.
 */
public final class GracefulGoAway {
    /** How long a round trip is waited for, in microseconds, before the second GOAWAY goes without one. */
    public static final long ROUND_TRIP = 300_000;
    /** How long the last answers may take to leave, in microseconds. */
    private static final long FLUSH = 100_000;

    /** What is to be done now. */
    public enum Step {
        NOTHING,
        /** GOAWAY with the highest id, and PING. */
        WARN,
        /** GOAWAY with the last stream that was taken. */
        NAME_LAST,
        /** The connection closes. */
        CLOSE
    }

    private enum State {
        OPEN,
        WARNED,
        NAMED,
        CLOSED
    }

    private State state = State.OPEN;
    private long since;
    private long until;

    /** Begins, or does nothing where that was before; a time that comes earlier than the one before it holds. */
    public Step begin(long now, long latest) {
        if (state != State.OPEN) {
            until = Math.min(until, latest);
            return Step.NOTHING;
        }
        state = State.WARNED;
        since = now;
        until = latest;
        return Step.WARN;
    }

    /** The PING of the first GOAWAY was answered: the client knows. */
    public Step answered(long now) {
        if (state != State.WARNED) {
            return Step.NOTHING;
        }
        state = State.NAMED;
        since = now;
        return Step.NAME_LAST;
    }

    /**
     * Looks at the time.
     *
     * @param open streams with no answer
     * @param unsent whether something that was written has not left yet
     */
    public Step look(long now, int open, boolean unsent) {
        if (state == State.WARNED && now - since >= Math.min(ROUND_TRIP, Math.max(0, until - since))) {
            return answered(now);
        }
        // Guards against closing on answers that wait to be sent, for ever where nobody reads them.
        boolean done = open == 0 && (!unsent || now - since >= FLUSH);
        if (state == State.NAMED && (done || now >= until)) {
            state = State.CLOSED;
            return Step.CLOSE;
        }
        return Step.NOTHING;
    }

    /** True from the first GOAWAY on. */
    public boolean hasBegun() {
        return state != State.OPEN;
    }

    /** True where no further stream is taken. */
    public boolean refusesNew() {
        return state == State.NAMED || state == State.CLOSED;
    }
}
