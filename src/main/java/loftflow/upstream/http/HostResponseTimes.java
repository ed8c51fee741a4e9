package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;

/** What is known of the times that a host needs for its responses, in microseconds. Not thread-safe. */
final class HostResponseTimes {
    private static final long MIN_BOUND_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    /** Weights of a new response time in the smoothed one and in its variation, and their bound, as in RFC 6298. */
    private static final int SMOOTHING_DIVISOR = 8;

    private static final int VARIATION_DIVISOR = 4;
    private static final int VARIATION_FACTOR = 4;
    private static final int SLOWEST_RESPONSE_FACTOR = 2;
    private static final long PERIOD_MICROS = TimeUnit.SECONDS.toMicros(60);

    private long smoothedMicros;
    private long variationMicros;
    private long slowestMicros;
    private long slowestBeforeMicros;
    private long periodEndMicros;
    /** Adds a response time. */
    void onResponse(long nowMicros, long elapsedMicros) {
        if (nowMicros >= periodEndMicros) {
            slowestBeforeMicros = slowestMicros;
            slowestMicros = 0;
            periodEndMicros = nowMicros + PERIOD_MICROS;
        }
        slowestMicros = Math.max(slowestMicros, elapsedMicros);
        smooth(elapsedMicros);
    }

    private void smooth(long elapsedMicros) {
        if (smoothedMicros == 0) {
            smoothedMicros = elapsedMicros;
            variationMicros = elapsedMicros / 2;
        } else {
            variationMicros += (Math.abs(elapsedMicros - smoothedMicros) - variationMicros) / VARIATION_DIVISOR;
            smoothedMicros += (elapsedMicros - smoothedMicros) / SMOOTHING_DIVISOR;
        }
    }

    /** Returns within which time the host usually responds; it is too short for a few responses. */
    long usualBoundMicros() {
        long usualMicros = smoothedMicros + VARIATION_FACTOR * variationMicros;
        return Math.min(boundMicros(), Math.max(MIN_BOUND_MICROS, usualMicros));
    }

    /** Returns within which time the host responds at the latest: a multiple of its slowest recent response. */
    long boundMicros() {
        return Math.max(MIN_BOUND_MICROS, SLOWEST_RESPONSE_FACTOR * Math.max(slowestMicros, slowestBeforeMicros));
    }
}
