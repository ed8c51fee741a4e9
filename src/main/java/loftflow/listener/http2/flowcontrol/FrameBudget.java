package loftflow.listener.http2.flowcontrol;

import java.util.EnumMap;
import java.util.Map;

/**
 * Rate limits on frames from a client that carry no message: a token bucket for each kind, which admits bursts and
 * stops floods. The connection of a client that exceeds a limit is closed with GOAWAY and ENHANCE_YOUR_CALM (RFC 9113,
 * section 10.5).
 */
public final class FrameBudget {
    /** A kind of frame or event that costs the relay work and carries no message. */
    public enum Kind {
        /** RST_STREAM; its rate is a setting (CVE-2023-44487). */
        RESET("RESET", 0, 0),
        /** A stream that the relay has to reset because of an error in its frames (CVE-2025-8671). */
        STREAM_ERROR("FAULT", 20, 100),
        /** A request that is answered with a client error. The answer is immediate, so no other limit applies. */
        INVALID_REQUEST("SENSELESS", 100, 1_000),
        /** A frame on a closed stream, possibly sent before the client received the close. */
        CLOSED_STREAM("LATE", 1_000, 4_000),
        /** PING, each of which must be acknowledged (CVE-2019-9512). */
        PING("PING", 10, 40),
        /** SETTINGS, each of which must be acknowledged (CVE-2019-9515). */
        SETTINGS("SETTINGS", 5, 20),
        /** DATA without payload and END_STREAM (CVE-2019-9518). */
        EMPTY_DATA("EMPTY_DATA", 20, 100),
        /** PRIORITY, which the relay ignores (CVE-2019-9513). */
        PRIORITY("PRIORITY", 50, 400),
        /** WINDOW_UPDATE. The relay sends no DATA, so clients need few of them. */
        WINDOW_UPDATE("WINDOW_UPDATE", 100, 2_000),
        /** A frame of an unknown type. */
        UNKNOWN("UNKNOWN", 20, 100);

        private final String code;
        private final double ratePerSecond;
        private final double burst;

        Kind(String code, double ratePerSecond, double burst) {
            this.code = code;
            this.ratePerSecond = ratePerSecond;
            this.burst = burst;
        }

        /** Returns the name of the kind in the debug data of GOAWAY, which clients may log. */
        public String code() {
            return code;
        }
    }

    /** The burst of {@link Kind#RESET}, in seconds at its rate. */
    private static final double RESET_BURST_SECONDS = 4;

    private static final double MICROS_PER_SECOND = 1e6;

    private static final class TokenBucket {
        private final double ratePerSecond;
        private final double capacity;
        private double tokens;
        private long updatedAtMicros;

        TokenBucket(double ratePerSecond, double capacity, long nowMicros) {
            this.ratePerSecond = ratePerSecond;
            this.capacity = capacity;
            tokens = capacity;
            updatedAtMicros = nowMicros;
        }

        boolean tryConsume(long nowMicros) {
            double refill = (nowMicros - updatedAtMicros) * ratePerSecond / MICROS_PER_SECOND;
            tokens = Math.min(capacity, tokens + refill);
            updatedAtMicros = nowMicros;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    private final Map<Kind, TokenBucket> buckets = new EnumMap<>(Kind.class);
    private final double resetsPerSecond;

    /** Creates the budget of one connection, with the rate limit on RST_STREAM frames. */
    public FrameBudget(double resetsPerSecond) {
        this.resetsPerSecond = resetsPerSecond;
    }

    /** Counts one frame; returns false if it exceeds the limit of its kind. */
    public boolean tryConsume(Kind kind, long nowMicros) {
        return buckets.computeIfAbsent(kind, absent -> createBucket(absent, nowMicros))
                .tryConsume(nowMicros);
    }

    private TokenBucket createBucket(Kind kind, long nowMicros) {
        if (kind == Kind.RESET) {
            return new TokenBucket(resetsPerSecond, Math.max(1, resetsPerSecond * RESET_BURST_SECONDS), nowMicros);
        }
        return new TokenBucket(kind.ratePerSecond, kind.burst, nowMicros);
    }
}
