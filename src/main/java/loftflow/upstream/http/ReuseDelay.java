package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Determines when a connection to a host may carry another call. A connection is quiet for a time after a response, so
 * that most surplus responses are seen before they can be read as the response to the next call; the
 * {@link ResponseLedger} corrects what the others cause. After a response to no call, each connection to the host
 * carries one call for a while. To be used on the event loop.
 */
final class ReuseDelay {
    /** The delay where a host has many connections already; bytes that follow a response at once arrive within it. */
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /** For how long connections are not reused after an unsolicited response. */
    private static final long SINGLE_USE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final long preferredNanos;
    private final LongSupplier nanoClock;
    private boolean isSingleUse;
    private long unsolicitedAtNanos;

    /**
     * Creates the delay of a host.
     *
     * @param preferredNanos the delay while the host has few connections
     * @param nanoClock the monotonic clock, in nanoseconds
     */
    ReuseDelay(long preferredNanos, LongSupplier nanoClock) {
        this.preferredNanos = Math.max(MIN_DELAY_NANOS, preferredNanos);
        this.nanoClock = nanoClock;
    }

    /**
     * Returns the delay in nanoseconds.
     *
     * @param hasRoomForConnections whether another connection to the host may be opened instead
     */
    long nanos(boolean hasRoomForConnections) {
        return hasRoomForConnections ? preferredNanos : MIN_DELAY_NANOS;
    }

    /** Returns whether a connection must not carry another call, because of a recent unsolicited response. */
    boolean isSingleUse() {
        isSingleUse &= nanoClock.getAsLong() - unsolicitedAtNanos < SINGLE_USE_NANOS;
        return isSingleUse;
    }

    /** Called when a response to no call was received. */
    void onUnsolicitedResponse() {
        unsolicitedAtNanos = nanoClock.getAsLong();
        isSingleUse = true;
    }
}
