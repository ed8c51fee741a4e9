package loftflow.warmstart.store;

import loftflow.policy.api.Availability;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.SnapshotDelta;

/** The numbers that stand for enum constants in snapshot and delta files. They never change. */
final class StoredCodes {
    private StoredCodes() {}

    static byte of(Availability availability) {
        return switch (availability) {
            case LISTED -> 0;
            case DRAINING -> 1;
            case REMOVED -> 2;
        };
    }

    static byte of(KnownEndpoint.State state) {
        return switch (state) {
            case LISTED -> 0;
            case OUT_OF_SERVICE -> 1;
            case EJECTED -> 2;
        };
    }

    static byte of(SnapshotDelta.Kind kind) {
        return switch (kind) {
            case OUT_OF_SERVICE -> 0;
            case EJECTED -> 1;
            case RETRY_AFTER -> 2;
            case FAILED -> 3;
            case RECOVERED -> 4;
            case DELTAS_LOST -> 5;
        };
    }

    static Availability availability(byte code) throws SnapshotCodec.UnreadableException {
        for (Availability availability : Availability.values()) {
            if (of(availability) == code) {
                return availability;
            }
        }
        throw unknown("availability", code);
    }

    static KnownEndpoint.State state(byte code) throws SnapshotCodec.UnreadableException {
        for (KnownEndpoint.State state : KnownEndpoint.State.values()) {
            if (of(state) == code) {
                return state;
            }
        }
        throw unknown("endpoint state", code);
    }

    static SnapshotDelta.Kind kind(byte code) throws SnapshotCodec.UnreadableException {
        for (SnapshotDelta.Kind kind : SnapshotDelta.Kind.values()) {
            if (of(kind) == code) {
                return kind;
            }
        }
        throw unknown("delta kind", code);
    }

    private static SnapshotCodec.UnreadableException unknown(String what, byte code) {
        return new SnapshotCodec.UnreadableException("unknown " + what + " code " + code);
    }
}
