package loftflow.listener.http2.flowcontrol;

/**
 * Decides when a connection is to end: its handshake takes too long, it is idle, its client does not read, or it has
 * reached its maximum age.
 */
public final class ConnectionExpiry {
    /**
     * The time limits of a connection, in microseconds.
     *
     * @param handshakeMicros from accepting the connection until the client acknowledges SETTINGS
     * @param idleMicros without an open stream
     * @param maxAgeMicros the age after which clients are to reconnect and so find new relays; 0 for no limit
     * @param writeStallMicros while the client reads nothing of what is buffered for it
     */
    public record TimeLimits(long handshakeMicros, long idleMicros, long maxAgeMicros, long writeStallMicros) {}

    /** What to do with a connection. */
    public enum Verdict {
        /** It stays open. */
        KEEP,
        /** It is shut down gracefully ({@link GracefulGoAway}). */
        DRAIN,
        /** It gets GOAWAY and is closed at once: its client does not respond. */
        TERMINATE
    }

    /** The maximum age is shortened by up to a tenth, so that connections opened together do not end together. */
    private static final double JITTER_DIVISOR = 10;

    private static final long NOT_STALLED = -1;

    private final TimeLimits limits;
    private final long openedAtMicros;
    private final long maxAgeMicros;
    private boolean isHandshakeComplete;
    private long idleSinceMicros;
    private long stalledSinceMicros = NOT_STALLED;

    /**
     * Starts with a connection that is accepted now.
     *
     * @param jitter from 0 to 1, how far the maximum age is shortened
     */
    public ConnectionExpiry(TimeLimits limits, long nowMicros, double jitter) {
        this.limits = limits;
        openedAtMicros = nowMicros;
        idleSinceMicros = nowMicros;
        maxAgeMicros = limits.maxAgeMicros() == 0 ? Long.MAX_VALUE : shorten(limits.maxAgeMicros(), jitter);
    }

    private static long shorten(long ageMicros, double jitter) {
        return (long) (ageMicros * (1 - jitter / JITTER_DIVISOR));
    }

    /** The client has acknowledged SETTINGS, which completes the handshake. */
    public void onSettingsAcknowledged(long nowMicros) {
        isHandshakeComplete = true;
        idleSinceMicros = nowMicros;
    }

    /** The first stream has opened, or the last one has closed. */
    public void onStreamsChanged(boolean hasOpenStreams, long nowMicros) {
        idleSinceMicros = hasOpenStreams ? Long.MAX_VALUE : nowMicros;
    }

    /**
     * Decides, to be called periodically.
     *
     * @param isStalled whether the outbound buffer is full
     */
    public Verdict check(long nowMicros, boolean isStalled) {
        if (!isHandshakeComplete) {
            return nowMicros - openedAtMicros >= limits.handshakeMicros() ? Verdict.TERMINATE : Verdict.KEEP;
        }
        if (!isStalled) {
            stalledSinceMicros = NOT_STALLED;
        } else if (stalledSinceMicros == NOT_STALLED) {
            stalledSinceMicros = nowMicros;
        }
        if (isStalled && nowMicros - stalledSinceMicros >= limits.writeStallMicros()) {
            return Verdict.TERMINATE;
        }
        boolean isIdle = idleSinceMicros != Long.MAX_VALUE && nowMicros - idleSinceMicros >= limits.idleMicros();
        return isIdle || nowMicros - openedAtMicros >= maxAgeMicros ? Verdict.DRAIN : Verdict.KEEP;
    }
}
