package loftflow.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** State shared by the clients of a run: the relay's ports, whether connections may be opened, and the history. */
final class ClientContext {
    /** Time after which a client stops waiting for the answer to a message. */
    static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final SoakHistory history;
    private final AtomicLong sequence = new AtomicLong();
    /** Null while clients must not open connections. */
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

    /** Records a submitted message and the answer that its client has just received. */
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

    /**
     * Sets the ports to which clients connect from now on.
     *
     * @param newPorts null to forbid new connections
     */
    void allowConnections(RelayUnderTest.Ports newPorts) {
        isProcessEnding &= newPorts == null;
        ports = newPorts;
    }

    /** Returns the ports for a new connection, or null while none may be opened. */
    RelayUnderTest.Ports ports() {
        return ports;
    }

    /** Records that the process is about to be killed or has ended, which explains connections that end from now on. */
    void markProcessEnding() {
        isProcessEnding = true;
        endedAtNanos = System.nanoTime();
    }

    /**
     * Classifies the end of a connection on which a request had no answer: {@code NONE} if the process ended after the
     * request was written, {@code CUT_OFF} otherwise.
     */
    SoakHistory.Answer answerOnDisconnect(long writtenAtNanos) {
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
