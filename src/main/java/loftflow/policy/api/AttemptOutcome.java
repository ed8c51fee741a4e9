package loftflow.policy.api;

/** How an attempt to deliver a message ended. */
public enum AttemptOutcome {
    /** The destination has accepted the message. */
    OK("OK"),
    /** The destination answered with an error; the message may have taken effect. */
    ERROR("ERROR"),
    /** The destination answered that it is above its limit or closed; the message has had no effect. */
    REJECTED("FULL"),
    /** No answer came in time; the message may have taken effect, or may yet. */
    TIMEOUT("TIMEOUT"),
    /** No connection came up; the message has had no effect. */
    CONNECT_FAILED("CONNECT_FAILED"),
    /** The connection broke after the call's last byte; the message may have taken effect. */
    RESET("RESET"),
    /** This relay stopped waiting; the message may have taken effect. */
    CANCELLED("CANCELLED"),
    /** The call never left this relay; the message has had no effect. */
    NOT_SENT("NOT_SENT");

    private final String code;

    AttemptOutcome(String code) {
        this.code = code;
    }

    /**
     * The name under which the journal, the dead-letter store and the admin protocol know this outcome; it never
     * changes.
     */
    public String code() {
        return code;
    }

    /**
     * The outcome that a {@link #code} stands for.
     *
     * @throws IllegalArgumentException where no outcome has this code
     */
    public static AttemptOutcome ofCode(String code) {
        for (AttemptOutcome outcome : values()) {
            if (outcome.code.equals(code)) {
                return outcome;
            }
        }
        throw new IllegalArgumentException("unknown attempt outcome: " + code);
    }

    /** True where the attempt surely had no effect at the destination. */
    public boolean isProvenNotExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
