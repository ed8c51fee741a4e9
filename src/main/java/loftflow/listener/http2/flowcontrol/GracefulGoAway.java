package loftflow.listener.http2.flowcontrol;

/**
 * The graceful shutdown of a connection (RFC 9113, section 6.8). A first GOAWAY with the highest stream id announces
 * it, while streams that are in transit are still accepted. After a round trip a second GOAWAY carries the id of the
 * last accepted stream; streams above it are never processed. Open streams finish, and the connection closes with the
 * last response, or at the deadline.
 */
public final class GracefulGoAway {
    /** How long the acknowledgement of the first GOAWAY's PING is awaited before the second one is sent. */
    public static final long ROUND_TRIP_TIMEOUT_MICROS = 300_000;
    /** How long the last responses may take to be written. */
    private static final long FLUSH_TIMEOUT_MICROS = 100_000;

    /** What to do now. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Send GOAWAY with the highest stream id, and PING. */
        ANNOUNCE,
        /** Send GOAWAY with the id of the last accepted stream. */
        SEND_LAST_STREAM_ID,
        /** Close the connection. */
        CLOSE
    }

    private enum State {
        OPEN,
        ANNOUNCED,
        LAST_STREAM_ID_SENT,
        CLOSED
    }

    private State state = State.OPEN;
    private long stateSinceMicros;
    private long deadlineMicros;

    /** Begins the shutdown. Where it has begun before, the earlier of the deadlines applies. */
    public Step begin(long nowMicros, long newDeadlineMicros) {
        if (state != State.OPEN) {
            deadlineMicros = Math.min(deadlineMicros, newDeadlineMicros);
            return Step.NONE;
        }
        state = State.ANNOUNCED;
        stateSinceMicros = nowMicros;
        deadlineMicros = newDeadlineMicros;
        return Step.ANNOUNCE;
    }

    /** The client has acknowledged the PING behind the first GOAWAY, and so has received the GOAWAY. */
    public Step onPingAcknowledged(long nowMicros) {
        if (state != State.ANNOUNCED) {
            return Step.NONE;
        }
        state = State.LAST_STREAM_ID_SENT;
        stateSinceMicros = nowMicros;
        return Step.SEND_LAST_STREAM_ID;
    }

    /**
     * Applies the time limits, to be called periodically.
     *
     * @param openStreams streams without a response
     * @param hasUnsentBytes whether written bytes are not sent yet
     */
    public Step check(long nowMicros, int openStreams, boolean hasUnsentBytes) {
        long inStateMicros = nowMicros - stateSinceMicros;
        if (state == State.ANNOUNCED && inStateMicros >= roundTripTimeoutMicros()) {
            return onPingAcknowledged(nowMicros);
        }
        // Responses are flushed before the close, unless the client does not read them.
        boolean isFlushed = !hasUnsentBytes || inStateMicros >= FLUSH_TIMEOUT_MICROS;
        boolean isFinished = openStreams == 0 && isFlushed;
        if (state == State.LAST_STREAM_ID_SENT && (isFinished || nowMicros >= deadlineMicros)) {
            state = State.CLOSED;
            return Step.CLOSE;
        }
        return Step.NONE;
    }

    private long roundTripTimeoutMicros() {
        return Math.min(ROUND_TRIP_TIMEOUT_MICROS, Math.max(0, deadlineMicros - stateSinceMicros));
    }

    /** Returns true from the first GOAWAY on. */
    public boolean hasBegun() {
        return state != State.OPEN;
    }

    /** Returns true where no further stream is accepted. */
    public boolean rejectsNewStreams() {
        return state == State.LAST_STREAM_ID_SENT || state == State.CLOSED;
    }
}
