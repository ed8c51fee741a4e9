package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;

/**
 * Determines when a connection to a host may carry another call. A connection is quiet for a time after a response, so
 * that most surplus responses are seen before they can be read as the response to the next call; the
 * {@link ResponseLedger} corrects what the others cause. To be used on the event loop.
 */
final class ReuseDelay {
    /** The delay where a host has many connections already; bytes that follow a response at once arrive within it. */
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final long preferredNanos;

    /**
     * Creates the delay of a host.
     *
     * @param preferredNanos the delay while the host has few connections
     */
    ReuseDelay(long preferredNanos) {
        this.preferredNanos = Math.max(MIN_DELAY_NANOS, preferredNanos);
    }

    /**
     * Returns the delay in nanoseconds.
     *
     * @param hasRoomForConnections whether another connection to the host may be opened instead
     */
    long nanos(boolean hasRoomForConnections) {
        return hasRoomForConnections ? preferredNanos : MIN_DELAY_NANOS;
    }
}
