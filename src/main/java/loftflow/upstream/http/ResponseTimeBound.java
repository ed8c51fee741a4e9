package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;

/** Bounds the time within which a host should respond to a call, by its slowest recent response. Not thread-safe. */
final class ResponseTimeBound {
    private static final long MIN_BOUND_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    private static final int SLOWEST_RESPONSE_FACTOR = 2;
    private static final long PERIOD_MICROS = TimeUnit.SECONDS.toMicros(60);

    private long slowestMicros;
    private long slowestBeforeMicros;
    private long periodEndMicros;

    /** Adds a response time; both times in microseconds. */
    void onResponse(long nowMicros, long elapsedMicros) {
        if (nowMicros >= periodEndMicros) {
            slowestBeforeMicros = slowestMicros;
            slowestMicros = 0;
            periodEndMicros = nowMicros + PERIOD_MICROS;
        }
        slowestMicros = Math.max(slowestMicros, elapsedMicros);
    }

    /** Returns the bound in microseconds. */
    long micros() {
        return Math.max(MIN_BOUND_MICROS, SLOWEST_RESPONSE_FACTOR * Math.max(slowestMicros, slowestBeforeMicros));
    }
}
