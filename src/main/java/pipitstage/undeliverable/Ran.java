package pipitstage.undeliverable;

import pipitstage.Policy.Result;

/** What is known about whether an attempt took effect. It only ever becomes more certain, by proof. */
public enum Ran {
    /** Proven never to have run. */
    NEVER,
    /** Nobody knows. */
    MAYBE,
    /** Proven to have run. */
    DID;

    /** What an outcome proves (PROTOCOL, Relays to hosts); null where there is none. */
    public static Ran of(Result result) {
        if (result == null) {
            return MAYBE;
        }
        return switch (result) {
            case OK -> DID;
            case FULL, CONNECT_FAILED, NOT_SENT -> NEVER;
            case ERROR, TIMEOUT, RESET, CANCELLED -> MAYBE;
        };
    }
}
