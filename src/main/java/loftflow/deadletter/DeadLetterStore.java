package loftflow.deadletter;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Where entries are kept. Every call has taken effect, and outlasts the process, when it returns. To be called on one
 * thread at a time.
 */
public interface DeadLetterStore extends AutoCloseable {
    /** A shelf that fails; the message is for staff. */
    final class ShelfException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public ShelfException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Which entries are meant; null and 0 mean any. {@code older} and {@code newer} are times when they were kept. */
    record Filter(
            DeadLetter.State state,
            Integer destination,
            String requestClass,
            String tenant,
            ExecutionCertainty ran,
            long newer,
            long older) {
        /** All entries. */
        public static final Filter ALL = new Filter(null, null, null, null, null, 0, 0);
    }

    /** How much there is. */
    record Size(long entries, long bytes, long oldest) {}

    /** Keeps an entry; its number. One with the same message id and deadline is there already: that one's number. */
    long put(DeadLetter entry);

    Optional<DeadLetter> get(long id);

    /** The number of the entry of a message; the newest where an id was used again. */
    OptionalLong find(String callId, long deadline);

    /** Entries with or without their bodies, by number from one on, so many at the most. */
    List<DeadLetter> list(Filter filter, long from, int most, boolean bodies);

    /** The most urgent kept entry that is due of each destination with a number above one, so many at the most. */
    List<DeadLetter> due(long now, int after, int most);

    /** The newest time of anything that is known: when an entry was kept, or tried. */
    long newest();

    /** Puts an entry from one state into another; false where it is in another one, and then nothing changes. */
    boolean move(long id, DeadLetter.State from, DeadLetter.State to, long due);

    /** Takes in that it was sent again: further attempts, where it stands now, when it is looked at next. */
    void resent(long id, List<DeadLetter.Try> more, DeadLetter.State state, long due, String why);

    /** Takes in what has become known of an attempt; a proof that it ran makes the entry delivered. */
    void learn(long id, DeadLetter.Try more);

    /** Records a person's word that the partner did not post it; false where it is not kept. */
    boolean word(long id, DeadLetter.Word word, long due);

    /** Adds to the record of who did what; nothing changes or removes a line of it. */
    void audit(long at, String who, String what, long id, String detail);

    /** Lines of that record, oldest first. */
    List<String> audits(long id);

    /** Removes entries that are delivered or discarded, oldest first, so many at the most; how many. */
    int removeSettled(long olderThan, int most);

    Size size();

    @Override
    void close();
}
