package loftflow.upstream.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What is known of the times that a host needs for its responses, in microseconds. Not thread-safe. */
final class HostResponseTimes {
    private static final long MIN_BOUND_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    private static final int SLOWEST_RESPONSE_FACTOR = 2;
    private static final int FASTEST_RESPONSE_DIVISOR = 2;
    private static final long PERIOD_MICROS = TimeUnit.SECONDS.toMicros(60);

    private long slowestMicros;
    private long slowestBeforeMicros;
    private long periodEndMicros;
    /** The fastest response that was certainly the one to its call, by status. */
    private final Map<Integer, Long> fastestMicros = new HashMap<>();

    /** Adds a response time. */
    void onResponse(long nowMicros, long elapsedMicros) {
        if (nowMicros >= periodEndMicros) {
            slowestBeforeMicros = slowestMicros;
            slowestMicros = 0;
            periodEndMicros = nowMicros + PERIOD_MICROS;
        }
        slowestMicros = Math.max(slowestMicros, elapsedMicros);
    }

    /** Adds the time of a response that is certainly the one to its call. */
    void onOwnResponse(int status, long elapsedMicros) {
        fastestMicros.merge(status, elapsedMicros, Math::min);
    }

    /** Returns within which time the host should respond: a multiple of its slowest recent response. */
    long boundMicros() {
        return Math.max(MIN_BOUND_MICROS, SLOWEST_RESPONSE_FACTOR * Math.max(slowestMicros, slowestBeforeMicros));
    }

    /** Returns whether the host has always needed much longer for a response with the status. */
    boolean isTooFast(int status, long elapsedMicros) {
        return elapsedMicros < fastestMicros.getOrDefault(status, 0L) / FASTEST_RESPONSE_DIVISOR;
    }
}
