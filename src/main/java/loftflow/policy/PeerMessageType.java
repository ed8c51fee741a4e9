package loftflow.policy;

/**
 * Types of the messages between relays of one fleet. Relays of different builds exchange them during an upgrade, so the
 * meaning of a code never changes.
 */
enum PeerMessageType {
    /** A type that this build does not know; ignored. */
    UNKNOWN(0),
    /** The sender has messages to send and requests a permit. */
    PERMIT_REQUEST(1),
    /** A call of the sender was rejected; implies a request for a permit. */
    REJECTED(2),
    /** A call of the sender failed; implies a request for a permit. */
    FAILED(3),
    /** A call of the sender was served. */
    SERVED(4),
    /** The receiver may send one call. */
    PERMIT(5),
    /** The receiver may send one call to a failing group and reports its outcome. */
    PROBE_PERMIT(6),
    /** Every receiver requires permits for a limited time. */
    CONGESTION_NOTICE(7);

    private final int code;

    PeerMessageType(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    static PeerMessageType ofCode(int code) {
        for (PeerMessageType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
