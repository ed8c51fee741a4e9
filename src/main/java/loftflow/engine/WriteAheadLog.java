package loftflow.engine;

import java.util.List;

/** The port behind which accepted work outlasts the process. Every call has taken effect when it returns. */
public interface WriteAheadLog {
    /** The number for the next message; higher than any in use. */
    long nextNumber();

    /** Every message that is not done, in the order accepted. */
    List<Message> open();

    /** Records that a message is taken on; false where there is no room or the disk fails. */
    boolean accept(Message message);

    /** Records an attempt before its first byte leaves; false where it can't be recorded. */
    boolean attempt(Message.Attempt attempt);

    /** Records what is known of an attempt that has ended, above all the proof that it never ran. */
    void result(Message.Attempt attempt);

    /** Records the end that the platform is still to be told of. */
    void decided(Message message);

    /** Records that nothing more is owed for a message. */
    void done(Message message);
}
