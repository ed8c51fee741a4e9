package loftflow.deadletter;

import loftflow.policy.api.AttemptOutcome;

/** What is known about whether an attempt took effect. It only ever becomes more certain, by proof. */
public enum ExecutionCertainty {
    /** Proven never to have run. */
    NEVER,
    /** Nobody knows. */
    MAYBE,
    /** Proven to have run. */
    DID;

    /** What an outcome proves (PROTOCOL, Relays to hosts); null where there is none. */
    public static ExecutionCertainty of(AttemptOutcome result) {
        if (result == null) {
            return MAYBE;
        }
        return switch (result) {
            case OK -> DID;
            case REJECTED, CONNECT_FAILED, NOT_SENT -> NEVER;
            case ERROR, TIMEOUT, RESET, CANCELLED -> MAYBE;
        };
    }
}
