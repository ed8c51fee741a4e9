package loftflow.soak;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;

/**
 * Records when the next call arrives on a connection, also while the upstream has not answered the call before. A host
 * begins a call when it has arrived (PROTOCOL), not when it has answered the earlier ones. Not thread-safe.
 */
final class ArrivalTimes {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final InputStream input;
    /** When the first unread byte was seen; 0 if there was none. */
    private long firstByteNanos;

    ArrivalTimes(InputStream input) {
        this.input = input;
    }

    InputStream input() {
        return input;
    }

    /** Returns when the byte that has just been read arrived, as far as that was observed, and forgets it. */
    long takeFirstByteNanos() {
        long arrivedNanos = firstByteNanos == 0 ? System.nanoTime() : firstByteNanos;
        firstByteNanos = 0;
        return arrivedNanos;
    }

    /** Waits until a time of {@link System#nanoTime}. */
    void pauseUntil(long untilNanos) {
        for (long left = untilNanos - System.nanoTime(); left > 0; left = untilNanos - System.nanoTime()) {
            if (firstByteNanos == 0 && hasUnreadBytes()) {
                firstByteNanos = System.nanoTime();
            }
            try {
                TimeUnit.NANOSECONDS.sleep(Math.min(left, POLL_NANOS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private boolean hasUnreadBytes() {
        try {
            return input.available() > 0;
        } catch (IOException e) {
            // The connection has failed; the call goes on all the same.
            return false;
        }
    }
}
