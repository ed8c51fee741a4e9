package loftflow.engine;

import java.util.List;

/**
 * The port to the journal, which preserves accepted messages across restarts. A record has been written when the method
 * returns, unless it says otherwise. To be called on the event loop.
 */
public interface WriteAheadLog {
    /** Returns the sequence number for the next message, which is higher than any in use. */
    long nextSequenceNumber();

    /** Returns the messages that are not done, in order of acceptance. */
    List<Message> openMessages();

    /** Records that a message is accepted; returns false if the journal is full or can't be written. */
    boolean recordAccepted(Message message);

    /**
     * Records a message that is open again, with its attempts so far, in one record; returns false if the journal is
     * full or can't be written.
     */
    boolean recordReopened(Message message);

    /** Records an attempt before it is sent; returns false if it can't, and the attempt must then not be sent. */
    boolean recordAttempt(Message.Attempt attempt);

    /**
     * Records the outcome of an attempt, in particular that it is proven not executed. If it can't be written now, it
     * is written as soon as possible.
     */
    void recordOutcome(Message.Attempt attempt);

    /** Returns whether records that could not be written are yet to be written. */
    boolean hasUnwrittenRecords();

    /**
     * Records a completion that is yet to be acknowledged. If it can't be written now, it is written as soon as
     * possible; returns whether it has been written.
     */
    boolean recordCompletion(Message message);

    /**
     * Records that a message is done: it needs no further attempt or notice. If it can't be written now, it is written
     * as soon as possible; returns whether it has been written.
     */
    boolean recordDone(Message message);
}
