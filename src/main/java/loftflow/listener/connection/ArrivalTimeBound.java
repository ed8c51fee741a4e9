package loftflow.listener.connection;

/**
 * Tracks the earliest time at which bytes that are now read from a connection can have arrived. The timeout of a
 * message starts when its client sent it, which the relay can't observe, so the earliest possible arrival time is used.
 */
public final class ArrivalTimeBound {
    private final Acceptor acceptor;
    private final long openedAtMicros;
    private final long earliestConnectionArrivalMicros;
    /** The earliest arrival time of bytes while reading is paused; {@link Long#MAX_VALUE} while it is not. */
    private long pausedSinceMicros = Long.MAX_VALUE;

    /** The earliest arrival time of bytes that the last read may have left; {@link Long#MAX_VALUE} if it left none. */
    private long leftoverSinceMicros = Long.MAX_VALUE;
    /** When the last read may have left bytes. */
    private long leftoverAtMicros;

    /** Creates the bound for a connection that is accepted at the given time on the engine's clock. */
    public ArrivalTimeBound(Acceptor acceptor, long nowMicros) {
        this.acceptor = acceptor;
        openedAtMicros = nowMicros;
        earliestConnectionArrivalMicros = acceptor.earliestConnectionArrivalMicros();
    }

    /** Returns the earliest time at which bytes that are read now can have arrived, in microseconds. */
    public long earliestArrivalMicros() {
        long unreadSinceMicros = acceptor.earliestByteArrivalMicros();
        if (leftoverAtMicros < unreadSinceMicros) {
            // All sockets have been read since then, so nothing was left.
            leftoverSinceMicros = Long.MAX_VALUE;
        }
        long sinceMicros = Math.min(Math.min(pausedSinceMicros, leftoverSinceMicros), unreadSinceMicros);
        // The first bytes may have arrived while the connection was still in the backlog.
        return sinceMicros <= openedAtMicros ? Math.min(sinceMicros, earliestConnectionArrivalMicros) : sinceMicros;
    }

    /** Records that reading from the connection is paused. May be called repeatedly during one pause. */
    public void onReadPaused() {
        pausedSinceMicros = Math.min(pausedSinceMicros, acceptor.earliestByteArrivalMicros());
    }

    /** Records that a read took as much as it may, so that bytes may be left for the next event-loop iteration. */
    public void onReadLimited(long nowMicros) {
        leftoverSinceMicros = Math.min(leftoverSinceMicros, acceptor.earliestByteArrivalMicros());
        leftoverAtMicros = nowMicros;
    }

    /** Records that all pending bytes have been read. */
    public void onReadCaughtUp() {
        leftoverSinceMicros = Long.MAX_VALUE;
        pausedSinceMicros = Long.MAX_VALUE;
    }
}
