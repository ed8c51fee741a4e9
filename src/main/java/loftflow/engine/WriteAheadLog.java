package loftflow.engine;

import java.util.List;

/** The port behind which accepted work outlasts the process. Every call has taken effect when it returns. */
public interface WriteAheadLog {
    /** The number for the next message; higher than any in use. */
    long nextSequenceNumber();

    /** Every message that is not done, in the order accepted. */
    List<Message> openMessages();

    /** Records that a message is taken on; false where there is no room or the disk fails. */
    boolean recordAccepted(Message message);

    /** Records an attempt before its first byte leaves; false where it can't be recorded. */
    boolean recordAttempt(Message.Attempt attempt);

    /** Records what is known of an attempt that has ended, above all the proof that it never ran. */
    void recordOutcome(Message.Attempt attempt);

    /** Records the end that the platform is still to be told of. */
    void recordCompletion(Message message);

    /** Records that nothing more is owed for a message. */
    void recordDone(Message message);
}
