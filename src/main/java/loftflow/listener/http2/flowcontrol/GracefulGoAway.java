package loftflow.listener.http2.flowcontrol;

/**
 * The state machine of the graceful shutdown of a connection (RFC 9113, section 6.8). The first GOAWAY carries the
 * highest possible stream id; streams in transit are still accepted. After a round trip, a second GOAWAY carries the id
 * of the last accepted stream; streams above it are not processed. Open streams finish, and the connection is closed
 * after the last response or at the deadline.
 */
public final class GracefulGoAway {
    /** The maximum wait for the acknowledgement of the PING that follows the first GOAWAY. */
    public static final long ROUND_TRIP_TIMEOUT_MICROS = 300_000;
    /** The maximum wait for the last responses to be flushed. */
    private static final long FLUSH_TIMEOUT_MICROS = 100_000;

    /** The next action of the shutdown. */
    public enum Step {
        /** Do nothing. */
        NONE,
        /** Send GOAWAY with the highest possible stream id, and PING. */
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

    /** Begins the shutdown. If it has already begun, the earlier deadline applies. */
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

    /** Records that the client has acknowledged the PING after the first GOAWAY, and so has received that GOAWAY. */
    public Step onPingAcknowledged(long nowMicros) {
        if (state != State.ANNOUNCED) {
            return Step.NONE;
        }
        state = State.LAST_STREAM_ID_SENT;
        stateSinceMicros = nowMicros;
        return Step.SEND_LAST_STREAM_ID;
    }

    /**
     * Applies the time limits; to be called periodically.
     *
     * @param openStreams the number of streams without a response
     * @param hasUnsentBytes whether written bytes have not been sent yet
     */
    public Step check(long nowMicros, int openStreams, boolean hasUnsentBytes) {
        long inStateMicros = nowMicros - stateSinceMicros;
        if (state == State.ANNOUNCED && inStateMicros >= roundTripTimeoutMicros()) {
            return onPingAcknowledged(nowMicros);
        }
        // Responses are flushed before the close, but a client that does not read them delays it only for a short time.
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

    /** Returns whether the shutdown has begun. */
    public boolean hasBegun() {
        return state != State.OPEN;
    }

    /** Returns whether new streams are refused. */
    public boolean rejectsNewStreams() {
        return state == State.LAST_STREAM_ID_SENT || state == State.CLOSED;
    }
}
