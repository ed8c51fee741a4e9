package loftflow.engine;

import java.util.List;

/**
 * The port to the journal, by which accepted messages outlast the process. A record is written when its method returns.
 * To be called on the event loop.
 */
public interface WriteAheadLog {
    /** The sequence number for the next message; higher than any in use. */
    long nextSequenceNumber();

    /** The messages that are not done, in the order accepted. */
    List<Message> openMessages();

    /** Records that a message is accepted; false where the journal is full or can't be written. */
    boolean recordAccepted(Message message);

    /** Records an attempt before it is sent; false where it can't be recorded, and the attempt must not be sent. */
    boolean recordAttempt(Message.Attempt attempt);

    /** Records the outcome of an attempt, above all the proof that it was not executed. */
    void recordOutcome(Message.Attempt attempt);

    /** Records a completion that has still to be acknowledged. */
    void recordCompletion(Message message);

    /** Records that nothing more is owed for a message. */
    void recordDone(Message message);
}
