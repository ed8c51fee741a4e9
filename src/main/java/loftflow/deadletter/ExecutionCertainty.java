package loftflow.deadletter;

import loftflow.policy.api.AttemptOutcome;

/**
 * Degree of certainty that the destination executed an attempt. Only a proof changes it. The constants are in ascending
 * order: the certainty of several attempts is the maximum of their certainties.
 */
public enum ExecutionCertainty {
    /** Proven not to be executed. */
    NOT_EXECUTED("NEVER"),
    /** Possibly executed. */
    UNKNOWN("MAYBE"),
    /** Proven to be executed. */
    EXECUTED("DID");

    private final String code;

    ExecutionCertainty(String code) {
        this.code = code;
    }

    /** Returns the stable name of this value in the database and, in lower case, in the admin protocol. */
    public String code() {
        return code;
    }

    /**
     * Returns the certainty with the given {@link #code}.
     *
     * @throws IllegalArgumentException if no certainty has this code
     */
    public static ExecutionCertainty ofCode(String code) {
        for (ExecutionCertainty certainty : values()) {
            if (certainty.code.equals(code)) {
                return certainty;
            }
        }
        throw new IllegalArgumentException("unknown execution certainty: " + code);
    }

    /** Returns what an outcome proves under the wire protocol; {@link #UNKNOWN} if the outcome is null. */
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
