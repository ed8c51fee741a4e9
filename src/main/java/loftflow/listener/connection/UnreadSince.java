package loftflow.listener.connection;

/**
 * Since when the bytes that a connection delivers now may have been pending. The deadline of a message counts from when
 * its client sent it, so that the earliest possible time is used.
 */
public final class UnreadSince {
    private final Acceptor acceptor;
    private final long openedAtMicros;
    private final long acceptableSinceMicros;
    /** Since when bytes may be pending while reading is paused. */
    private long pausedSinceMicros = Long.MAX_VALUE;

    /** Starts with a connection that is accepted now, by the engine's clock. */
    public UnreadSince(Acceptor acceptor, long nowMicros) {
        this.acceptor = acceptor;
        openedAtMicros = nowMicros;
        acceptableSinceMicros = acceptor.acceptableSince();
    }

    /** The earliest time at which bytes that are read now can have arrived, in microseconds. */
    public long earliestArrivalMicros() {
        long sinceMicros = Math.min(pausedSinceMicros, acceptor.unreadSince());
        // The first bytes may have been pending together with their connection.
        return sinceMicros <= openedAtMicros ? Math.min(sinceMicros, acceptableSinceMicros) : sinceMicros;
    }

    /** Reading from the connection is paused, from now on or still. */
    public void onReadPaused() {
        pausedSinceMicros = Math.min(pausedSinceMicros, acceptor.unreadSince());
    }

    /** All pending bytes have been read. */
    public void onReadCaughtUp() {
        pausedSinceMicros = Long.MAX_VALUE;
    }
}
