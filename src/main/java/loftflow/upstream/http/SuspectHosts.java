package loftflow.upstream.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks which hosts have sent a response to no call not long ago. Several of them show that the cause lies between the
 * relay and its hosts, so that all others are to be expected to do it too. To be used on the event loop.
 */
final class SuspectHosts {
    /** For how long a host is suspect after an unsolicited response. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** A single host may have a fault of its own. */
    private static final int MIN_WIDESPREAD_HOSTS = 2;

    private final LongSupplier nanoClock;
    private final Map<String, Long> unsolicitedAtNanos = new HashMap<>();

    /**
     * Creates a tracker without suspect hosts.
     *
     * @param nanoClock the monotonic clock, in nanoseconds
     */
    SuspectHosts(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Called when a host has sent a response to no call. */
    void onUnsolicitedResponse(String route) {
        unsolicitedAtNanos.put(route, nanoClock.getAsLong());
    }

    /** Returns whether several hosts are suspect. */
    boolean isWidespread() {
        if (unsolicitedAtNanos.size() < MIN_WIDESPREAD_HOSTS) {
            return false;
        }
        long nowNanos = nanoClock.getAsLong();
        unsolicitedAtNanos.values().removeIf(atNanos -> nowNanos - atNanos >= SUSPICION_NANOS);
        return unsolicitedAtNanos.size() >= MIN_WIDESPREAD_HOSTS;
    }

    /** Returns whether a host is suspect. */
    boolean isSuspect(String route) {
        Long atNanos = unsolicitedAtNanos.get(route);
        return atNanos != null && nanoClock.getAsLong() - atNanos < SUSPICION_NANOS;
    }
}
