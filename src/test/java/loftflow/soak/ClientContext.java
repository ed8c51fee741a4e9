package loftflow.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** What the clients of a run share: where the relay serves, and whether new connections may be opened. */
final class ClientContext {
    /** How long a client waits for the answer to a message. */
    static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final SoakHistory history;
    private final AtomicLong sequence = new AtomicLong();
    /** Null while no new connection may be opened. */
    private volatile RelayUnderTest.Ports ports;

    private volatile boolean isProcessEnding;
    private volatile long endedAtNanos;
    private volatile boolean isOver;

    ClientContext(SoakHistory history) {
        this.history = history;
    }

    SoakHistory history() {
        return history;
    }

    long nextSequence() {
        return sequence.incrementAndGet();
    }

    /** Records a message that a client has handed in, with what it learned just now. */
    void record(
            String id,
            MessageClass type,
            String front,
            String orderingKey,
            long sequence,
            long sentAtNanos,
            SoakHistory.Answer answer) {
        long deadlineNanos = sentAtNanos + TimeUnit.MILLISECONDS.toNanos(type.deadlineMillis());
        history.submissions.add(new SoakHistory.Submission(
                id, type, front, orderingKey, sequence, sentAtNanos, deadlineNanos, System.nanoTime(), answer));
    }

    /** New connections go there from now on; null for none. */
    void allowConnections(RelayUnderTest.Ports newPorts) {
        isProcessEnding &= newPorts == null;
        ports = newPorts;
    }

    /** The ports for a new connection; null where none may be opened now. */
    RelayUnderTest.Ports ports() {
        return ports;
    }

    /** The process is about to be killed, or has ended: from now on connections end with it. */
    void processEnds() {
        isProcessEnding = true;
        endedAtNanos = System.nanoTime();
    }

    /** What the end of a connection means for a request that was written at a time. */
    SoakHistory.Answer answerAtEndOfConnection(long writtenAtNanos) {
        boolean hasProcessEnded = isProcessEnding || endedAtNanos - writtenAtNanos > 0;
        return hasProcessEnded ? SoakHistory.Answer.NONE : SoakHistory.Answer.CUT_OFF;
    }

    void end() {
        isOver = true;
    }

    boolean isOver() {
        return isOver;
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
