package loftflow.deadletter;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Storage of dead letters. Each call is durable against the end of the process when it returns, and throws
 * {@link DeadLetterStoreException} where it fails. Not thread-safe.
 */
public interface DeadLetterStore extends AutoCloseable {

    /**
     * Selects dead letters; null, and 0 for a time, select any.
     *
     * @param storedFromMicros earliest time at which the dead letter was stored, in microseconds
     * @param storedBeforeMicros time before which it was stored, in microseconds
     */
    record Filter(
            DeadLetter.State state,
            Integer destination,
            String requestClass,
            String tenant,
            ExecutionCertainty certainty,
            long storedFromMicros,
            long storedBeforeMicros) {
        /** Selects all dead letters. */
        public static final Filter ALL = new Filter(null, null, null, null, null, 0, 0);
    }

    /**
     * Size of the store.
     *
     * @param oldestMicros when the oldest dead letter was stored; 0 where there is none
     */
    record Size(long entries, long bytes, long oldestMicros) {}

    /** Stores a dead letter. Idempotent: one with the same message id and deadline is stored once. Returns its id. */
    long put(DeadLetter deadLetter);

    /** The dead letter with an id. */
    Optional<DeadLetter> get(long id);

    /** The id of the dead letter of a message. */
    OptionalLong find(String messageId, long deadlineMicros);

    /** Dead letters in the order of their ids, starting from an id, with or without their bodies. */
    List<DeadLetter> list(Filter filter, long fromId, int maxEntries, boolean withBodies);

    /** Of each destination with a number above the given one, the stored dead letter that has been due the longest. */
    List<DeadLetter> findDue(long nowMicros, int afterDestination, int maxEntries);

    /** The latest time that is stored: when a dead letter was stored, or an attempt sent. 0 where there is none. */
    long newestMicros();

    /** Changes a state by compare-and-set; false, and nothing changes, where the state is another one. */
    boolean transition(long id, DeadLetter.State from, DeadLetter.State to, long dueMicros);

    /** Records the end of a redrive: its attempts, the new state, and when the dead letter is next due. */
    void recordRedrive(
            long id, List<DeadLetter.Attempt> attempts, DeadLetter.State state, long dueMicros, String reason);

    /** Records an outcome that has become known; one that proves execution makes the dead letter delivered. */
    void recordOutcome(long id, DeadLetter.Attempt attempt);

    /** Records an operator's confirmation; false, and nothing changes, where the dead letter is not stored any more. */
    boolean recordConfirmation(long id, DeadLetter.Confirmation confirmation, long dueMicros);

    /** Appends to the audit trail, which can be neither changed nor removed. */
    void appendAudit(long atMicros, String who, String what, long id, String detail);

    /** The audit trail of a dead letter, oldest line first. */
    List<String> auditTrail(long id);

    /** Removes delivered and discarded dead letters that were stored before a time, oldest first; returns how many. */
    int removeSettled(long storedBeforeMicros, int maxEntries);

    /** The size of the store. */
    Size size();

    @Override
    void close();
}
