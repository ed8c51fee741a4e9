package loftflow.policy.api;

/** Outcome of an attempt to deliver a message. */
public enum AttemptOutcome {
    /** The destination has accepted the message. */
    OK("OK"),
    /** The destination answered with an error; the message may have taken effect. */
    ERROR("ERROR"),
    /** The destination answered that its limit is exceeded or that it is closed; the message has had no effect. */
    REJECTED("FULL"),
    /** No answer arrived in time; the message may have taken effect or may still do so. */
    TIMEOUT("TIMEOUT"),
    /** No connection could be established; the message has had no effect. */
    CONNECT_FAILED("CONNECT_FAILED"),
    /** The connection was lost after the last byte of the call was sent; the message may have taken effect. */
    RESET("RESET"),
    /** This relay stopped waiting for the answer; the message may have taken effect. */
    CANCELLED("CANCELLED"),
    /** The call was not sent; the message has had no effect. */
    NOT_SENT("NOT_SENT");

    private final String code;

    AttemptOutcome(String code) {
        this.code = code;
    }

    /** Returns the stable identifier of this outcome in the journal, the dead-letter store and the admin protocol. */
    public String code() {
        return code;
    }

    /**
     * Returns the outcome with a {@link #code}.
     *
     * @throws IllegalArgumentException if no outcome has this code
     */
    public static AttemptOutcome ofCode(String code) {
        for (AttemptOutcome outcome : values()) {
            if (outcome.code.equals(code)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("unknown attempt outcome: " + code);
    }

    /** Returns whether the attempt is certain to have had no effect at the destination. */
    public boolean isProvenNotExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
