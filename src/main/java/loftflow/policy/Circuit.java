package loftflow.policy;

/** State of the circuit of a route or of a whole {@link LimitGroup}; {@link CircuitBreaker} decides its transitions. */
final class Circuit {
    /** Closed: all calls pass. Open: no call passes. Half-open: one probe may pass. */
    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    /** Reason for which a circuit was opened. */
    enum Cause {
        /** Calls failed, or connections could not be established. */
        FAILURES("failures"),
        /** Rejections or a Retry-After showed that the destination is unavailable to all relays. */
        REJECTIONS("rejections"),
        /** Calls stayed unanswered, although none had failed. */
        UNRESPONSIVE("unresponsive");

        /** The cause as written in log lines. */
        final String logName;

        Cause(String logName) {
            this.logName = logName;
        }
    }

    State state = State.CLOSED;
    int consecutiveFailures;
    long openedAtMicros;
    /** Earliest time at which an open circuit becomes half-open. */
    long probeNotBeforeMicros;
    /** Null until the circuit is first opened. */
    Cause openedBy;
    /** Send time of the most recently sent call that failed. */
    long lastFailedCallSentAtMicros;
    /**
     * True if the circuit is open only until a probe confirms that an address from before a restart still belongs to
     * the route.
     */
    boolean awaitsAddressCheck;

    /** The call or health check that tests whether the circuit may close; null if there is none. */
    private Call probe;

    void startProbe(Call started) {
        probe = started;
    }

    /** Has no effect unless the call is the one that tests the circuit. */
    void endProbe(Call ended) {
        probe = probe == ended ? null : probe;
    }

    /** Returns whether a probe is in flight that keeps others back; one to a route that is not listed does not. */
    boolean hasProbeInFlight() {
        return probe != null && probe.route.listed;
    }

    boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Returns whether the circuit is open or half-open for another reason than a pending address check. */
    boolean isTripped() {
        return state != State.CLOSED && !awaitsAddressCheck;
    }
}
