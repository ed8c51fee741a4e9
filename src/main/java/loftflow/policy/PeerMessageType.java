package loftflow.policy;

/** What notes between relays say of a group. */
enum PeerMessageType {
    NONE,
    WANT,
    REFUSED,
    FAILED,
    SERVED,
    TURN,
    TEST,
    GUARD;

    static PeerMessageType of(int ordinal) {
        return ordinal > 0 && ordinal < values().length ? values()[ordinal] : NONE;
    }
}
