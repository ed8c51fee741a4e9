package loftflow.deadletter;

import loftflow.policy.api.AttemptOutcome;

/**
 * Whether an attempt took effect at the destination, as far as it is proven. Changes only by proof. Constants are in
 * ascending order: the certainty of several attempts is the greatest of theirs.
 */
public enum ExecutionCertainty {
    /** Proven not to have taken effect. */
    NOT_EXECUTED("NEVER"),
    /** It may have taken effect. */
    UNKNOWN("MAYBE"),
    /** Proven to have taken effect. */
    EXECUTED("DID");

    private final String code;

    ExecutionCertainty(String code) {
        this.code = code;
    }

    /** The name by which the database and, in lower case, the admin protocol know this value; it never changes. */
    public String code() {
        return code;
    }

    /**
     * The certainty that a {@link #code} stands for.
     *
     * @throws IllegalArgumentException where none has this code
     */
    public static ExecutionCertainty ofCode(String code) {
        for (ExecutionCertainty certainty : values()) {
            if (certainty.code.equals(code)) {
                return certainty;
            }
        }
        throw new IllegalArgumentException("unknown execution certainty: " + code);
    }

    /** What an outcome proves by the wire protocol. An outcome of null, not known yet, proves nothing. */
    public static ExecutionCertainty of(AttemptOutcome outcome) {
        if (outcome == null) {
            return UNKNOWN;
        }
        return switch (outcome) {
            case OK -> EXECUTED;
            case REJECTED, CONNECT_FAILED, NOT_SENT -> NOT_EXECUTED;
            case ERROR, TIMEOUT, RESET, CANCELLED -> UNKNOWN;
        };
    }
}
