package loftflow.listener.http2.flowcontrol;

import java.util.EnumMap;
import java.util.Map;

/**
 * What a client may send beside its messages: each kind of frame has a token bucket, so that a burst passes and a flood
 * does not. One that is over its budget gets GOAWAY with ENHANCE_YOUR_CALM (RFC 9113, 10.5).
 */
public final class FrameBudget {
    /** A kind of frame that costs the relay work and brings it no message. */
    public enum Cost {
        /** RST_STREAM; its rate is a setting (CVE-2023-44487). */
        RESET(0, 0),
        /** A stream that the relay had to reset for what was sent on it (CVE-2025-8671). */
        FAULT(20, 100),
        /**
         * A request that makes no sense, and has its answer at once: nothing else would hold back who sends only such.
         */
        SENSELESS(100, 1_000),
        /** A frame on a stream that is closed; those that were on their way as it closed come too. */
        LATE(1_000, 4_000),
        /** PING, each of which must be answered (CVE-2019-9512). */
        PING(10, 40),
        /** SETTINGS, likewise (CVE-2019-9515). */
        SETTINGS(5, 20),
        /** DATA with no byte and no end (CVE-2019-9518). */
        EMPTY_DATA(20, 100),
        /** PRIORITY, which the relay does not heed (CVE-2019-9513). */
        PRIORITY(50, 400),
        /** WINDOW_UPDATE; the relay sends next to no DATA, so that clients need few. */
        WINDOW_UPDATE(100, 2_000),
        /** A frame of a type that nobody knows. */
        UNKNOWN(20, 100);

        private final double rate;
        private final double burst;

        Cost(double rate, double burst) {
            this.rate = rate;
            this.burst = burst;
        }
    }

    /** So many seconds' worth may come at once where the rate is a setting. */
    private static final double BURST_SECONDS = 4;

    private static final double SECOND = 1e6;

    private static final class Bucket {
        private final double rate;
        private final double burst;
        private double left;
        private long since;

        Bucket(double rate, double burst, long now) {
            this.rate = rate;
            this.burst = burst;
            left = burst;
            since = now;
        }

        boolean take(long now) {
            left = Math.min(burst, left + (now - since) * rate / SECOND);
            since = now;
            if (left < 1) {
                return false;
            }
            left--;
            return true;
        }
    }

    private final Map<Cost, Bucket> buckets = new EnumMap<>(Cost.class);
    private final double resets;

    /**
     * The budget of a connection.
     *
     * @param resets RST_STREAM frames a second
     */
    public FrameBudget(double resets) {
        this.resets = resets;
    }

    /** One more has come; false where that is too many. */
    public boolean allows(Cost cost, long now) {
        return buckets.computeIfAbsent(
                        cost,
                        c -> c == Cost.RESET
                                ? new Bucket(resets, Math.max(1, resets * BURST_SECONDS), now)
                                : new Bucket(c.rate, c.burst, now))
                .take(now);
    }
}
