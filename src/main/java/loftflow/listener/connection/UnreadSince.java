package loftflow.listener.connection;

/**
 * Since when bytes that a connection brings now may have lain unread: a message's time counts from when it was sent.
 */
public final class UnreadSince {
    private final Acceptor door;
    private final long openedAt;
    private final long acceptableSince;
    /** Since when bytes may have waited while the connection was not read from. */
    private long pausedSince = Long.MAX_VALUE;

    /** A connection that is accepted now, by the engine's clock. */
    public UnreadSince(Acceptor door, long now) {
        this.door = door;
        openedAt = now;
        acceptableSince = door.acceptableSince();
    }

    /** The earliest time at which the bytes that are read now can have come. */
    public long since() {
        long since = Math.min(pausedSince, door.unreadSince());
        // Guards against bytes that came with the connection and waited, with it, to be accepted.
        return since <= openedAt ? Math.min(since, acceptableSince) : since;
    }

    /** The connection is not read from, from now on or still. */
    public void paused() {
        pausedSince = Math.min(pausedSince, door.unreadSince());
    }

    /** All that waited has been read. */
    public void caughtUp() {
        pausedSince = Long.MAX_VALUE;
    }
}
