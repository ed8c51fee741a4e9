package loftflow.policy;

/**
 * State of the circuit of one route, or of a whole {@link LimitGroup}; {@link CircuitBreaker} decides its transitions.
 */
final class Circuit {
    /** Closed: calls pass. Open: none do. Half-open: one probe may pass. */
    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    /** What an open circuit was opened by. */
    enum Cause {
        /** Calls that failed, or connections that could not be opened. */
        FAILURES("failures"),
        /** Rejections, or a Retry-After, that say that the destination is unavailable to all. */
        REJECTIONS("rejections"),
        /** Calls that stay unanswered though none failed. */
        UNRESPONSIVE("unresponsive");

        /** The cause as log lines have it. */
        final String logName;

        Cause(String logName) {
            this.logName = logName;
        }
    }

    State state = State.CLOSED;
    int consecutiveFailures;
    long openedAtMicros;
    /** An open circuit becomes half-open no sooner than this. */
    long probeNotBeforeMicros;
    /** Null before it is opened for the first time. */
    Cause openedBy;
    /** When the latest of the calls that failed had been sent. */
    long lastFailedCallSentAtMicros;
    /** Open only until a probe has shown that an address from before a restart still belongs to the route. */
    boolean awaitsAddressCheck;

    boolean probeInFlight;

    boolean isClosed() {
        return state == State.CLOSED;
    }

    /** True where it is open, or half-open, because of failures. */
    boolean isTripped() {
        return state != State.CLOSED && !awaitsAddressCheck;
    }
}
