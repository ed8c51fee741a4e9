package loftflow.listener.http2.flowcontrol;

/**
 * Decides when a connection is to be closed: its handshake has timed out, it is idle, its client does not read, or it
 * has reached its maximum age.
 */
public final class ConnectionExpiry {
    /**
     * The time limits of a connection, in microseconds.
     *
     * @param handshakeMicros the maximum time from accepting the connection until the client acknowledges SETTINGS
     * @param idleMicros the maximum time without an open stream
     * @param maxAgeMicros the age at which the client is made to reconnect, so that it finds new relays; 0 for no limit
     * @param writeStallMicros the maximum time for which the outbound buffer may stay full
     */
    public record TimeLimits(long handshakeMicros, long idleMicros, long maxAgeMicros, long writeStallMicros) {}

    /** What to do with a connection. */
    public enum Verdict {
        /** It stays open. */
        KEEP,
        /** It is shut down gracefully ({@link GracefulGoAway}). */
        DRAIN,
        /** It is closed at once after GOAWAY, because its client does not respond. */
        TERMINATE
    }

    /** The maximum age is shortened by up to a tenth, so that connections opened together are not closed together. */
    private static final double JITTER_DIVISOR = 10;

    private static final long NOT_STALLED = -1;

    private final TimeLimits limits;
    private final long openedAtMicros;
    private final long maxAgeMicros;
    private boolean isHandshakeComplete;
    private long idleSinceMicros;
    private long stalledSinceMicros = NOT_STALLED;

    /**
     * Creates the expiry of a connection that is accepted now.
     *
     * @param jitter how far the maximum age is shortened, from 0 (not at all) to 1 (by a tenth)
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

    /** Records that the client has acknowledged SETTINGS, which completes the handshake. */
    public void onSettingsAcknowledged(long nowMicros) {
        isHandshakeComplete = true;
        idleSinceMicros = nowMicros;
    }

    /** Records that the first stream has opened or the last one has closed. */
    public void onStreamsChanged(boolean hasOpenStreams, long nowMicros) {
        idleSinceMicros = hasOpenStreams ? Long.MAX_VALUE : nowMicros;
    }

    /**
     * Returns what to do with the connection now; to be called periodically.
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
