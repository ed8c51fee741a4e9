package loftflow.listener.http2.flowcontrol;

import java.util.EnumMap;
import java.util.Map;

/**
 * Rate limits on what a client may send besides its messages: a token bucket for each kind of frame, so that a burst
 * passes and a flood does not. A client that exceeds one gets GOAWAY with ENHANCE_YOUR_CALM (RFC 9113, section 10.5).
 */
public final class FrameBudget {
    /** A kind of frame or event that costs the relay work and carries no message. */
    public enum Kind {
        /** RST_STREAM; its rate is a setting (CVE-2023-44487). */
        RESET("RESET", 0, 0),
        /** A stream that the relay has to reset because of an error in its frames (CVE-2025-8671). */
        STREAM_ERROR("FAULT", 20, 100),
        /** A request that is answered with a client error; such answers are immediate, so nothing else limits them. */
        INVALID_REQUEST("SENSELESS", 100, 1_000),
        /** A frame on a closed stream; frames that were sent before the client saw the close are among them. */
        CLOSED_STREAM("LATE", 1_000, 4_000),
        /** PING, each of which must be acknowledged (CVE-2019-9512). */
        PING("PING", 10, 40),
        /** SETTINGS, each of which must be acknowledged (CVE-2019-9515). */
        SETTINGS("SETTINGS", 5, 20),
        /** DATA without payload and END_STREAM (CVE-2019-9518). */
        EMPTY_DATA("EMPTY_DATA", 20, 100),
        /** PRIORITY, which the relay ignores (CVE-2019-9513). */
        PRIORITY("PRIORITY", 50, 400),
        /** WINDOW_UPDATE; the relay sends no DATA, so that clients need few. */
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

        /** The name of the kind in the debug data of GOAWAY, which clients log. */
        public String code() {
            return code;
        }
    }

    /** The burst of {@link Kind#RESET}, in seconds of its rate. */
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

    /** Creates the budget of one connection. */
    public FrameBudget(double resetsPerSecond) {
        this.resetsPerSecond = resetsPerSecond;
    }

    /** Counts one frame; returns false where it exceeds the limit of its kind. */
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
