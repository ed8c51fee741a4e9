package loftflow.deadletter;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Storage of dead letters. When a call returns, its changes survive a crash of the process. A call that fails throws
 * {@link DeadLetterStoreException}. Not thread-safe.
 */
public interface DeadLetterStore extends AutoCloseable {

    /**
     * Selects dead letters; a null field, or a time of 0, matches any value.
     *
     * @param storedFromMicros earliest time of storage, inclusive, in microseconds since the epoch
     * @param storedBeforeMicros latest time of storage, exclusive, in microseconds since the epoch
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
     * @param oldestMicros time at which the oldest dead letter was stored; 0 if the store is empty
     */
    record Size(long entries, long bytes, long oldestMicros) {}

    /** Stores a dead letter and returns its id. Idempotent by message id and deadline. */
    long put(DeadLetter deadLetter);

    /** Returns the dead letter with an id; empty if there is none. */
    Optional<DeadLetter> get(long id);

    /** Returns the id of the dead letter of a message; empty if there is none. */
    OptionalLong find(String messageId, long deadlineMicros);

    /** Returns dead letters in ascending order of id, starting at {@code fromId}, with or without their bodies. */
    List<DeadLetter> list(Filter filter, long fromId, int maxEntries, boolean withBodies);

    /** Returns the longest-due stored dead letter of each destination numbered above {@code afterDestination}. */
    List<DeadLetter> findDue(long nowMicros, int afterDestination, int maxEntries);

    /** Returns the newest storage or attempt time in the store, in microseconds; 0 if the store is empty. */
    long newestMicros();

    /** Changes a state by compare-and-set. Returns false and changes nothing if the state is not {@code from}. */
    boolean transition(long id, DeadLetter.State from, DeadLetter.State to, long dueMicros);

    /** Records the end of a redrive: its attempts, the new state, and the next due time. */
    void recordRedrive(
            long id, List<DeadLetter.Attempt> attempts, DeadLetter.State state, long dueMicros, String reason);

    /** Records an outcome that became known later. An outcome that proves execution sets the state to delivered. */
    void recordOutcome(long id, DeadLetter.Attempt attempt);

    /** Records an operator's confirmation. Returns false and changes nothing if the state is not stored. */
    boolean recordConfirmation(long id, DeadLetter.Confirmation confirmation, long dueMicros);

    /** Appends an entry to the audit trail, whose entries can be neither changed nor removed. */
    void appendAudit(long atMicros, String operator, String action, long id, String detail);

    /** Returns the audit trail of a dead letter, oldest entry first. */
    List<String> auditTrail(long id);

    /** Removes delivered and discarded dead letters stored before a time, oldest first. Returns the number removed. */
    int removeSettled(long storedBeforeMicros, int maxEntries);

    Size size();

    @Override
    void close();
}
