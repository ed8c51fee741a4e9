package loftflow.warmstart.store;

import java.util.function.ToIntFunction;
import loftflow.policy.api.Availability;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.SnapshotDelta;

/** Codes of enum constants in snapshot and delta files. A code never changes. */
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
        return find(Availability.values(), StoredCodes::of, "availability", code);
    }

    static KnownEndpoint.State state(byte code) throws SnapshotCodec.UnreadableException {
        return find(KnownEndpoint.State.values(), StoredCodes::of, "endpoint state", code);
    }

    static SnapshotDelta.Kind kind(byte code) throws SnapshotCodec.UnreadableException {
        return find(SnapshotDelta.Kind.values(), StoredCodes::of, "delta kind", code);
    }

    private static <E> E find(E[] values, ToIntFunction<E> codeOf, String fieldName, byte code)
            throws SnapshotCodec.UnreadableException {
        for (E value : values) {
            if (codeOf.applyAsInt(value) == code) {
                return value;
            }
        }
        throw new SnapshotCodec.UnreadableException("unknown " + fieldName + " code " + code);
    }
}
