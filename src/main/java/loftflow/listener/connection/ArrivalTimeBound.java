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

    /** Creates the bound for a connection that is accepted at the given time on the engine's clock. */
    public ArrivalTimeBound(Acceptor acceptor, long nowMicros) {
        this.acceptor = acceptor;
        openedAtMicros = nowMicros;
        earliestConnectionArrivalMicros = acceptor.earliestConnectionArrivalMicros();
    }

    /** Returns the earliest time at which bytes that are read now can have arrived, in microseconds. */
    public long earliestArrivalMicros() {
        long sinceMicros = Math.min(pausedSinceMicros, acceptor.earliestByteArrivalMicros());
        // The first bytes may have arrived while the connection was still in the backlog.
        return sinceMicros <= openedAtMicros ? Math.min(sinceMicros, earliestConnectionArrivalMicros) : sinceMicros;
    }

    /** Records that reading from the connection is paused. May be called repeatedly during one pause. */
    public void onReadPaused() {
        pausedSinceMicros = Math.min(pausedSinceMicros, acceptor.earliestByteArrivalMicros());
    }

    /** Records that all pending bytes have been read. */
    public void onReadCaughtUp() {
        pausedSinceMicros = Long.MAX_VALUE;
    }
}
