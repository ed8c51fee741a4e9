package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;

/** For how long a connection has carried no bytes, and for how long it has received no response. Not thread-safe. */
final class ConnectionQuiet {
    /** When the last response was received; initially the creation time. */
    private long respondedAtNanos = System.nanoTime();
    /** The last time a byte was sent or received; initially the creation time. The host's idle timeout starts there. */
    private long activeAtNanos = respondedAtNanos;

    /** Called when bytes have been sent or received. */
    void onActivity() {
        activeAtNanos = System.nanoTime();
    }

    /** Called when a response has been received. */
    void onResponse() {
        respondedAtNanos = System.nanoTime();
    }

    /** Returns the time in nanoseconds since the last response. */
    long sinceResponseNanos() {
        return System.nanoTime() - respondedAtNanos;
    }

    /** Returns the time in nanoseconds until the connection has been idle for the given time; at least 0. */
    long idleInNanos(long idleTimeoutMicros) {
        long leftNanos = activeAtNanos + TimeUnit.MICROSECONDS.toNanos(idleTimeoutMicros) - System.nanoTime();
        return Math.max(0, leftNanos);
    }
}
