package loftflow.upstream.http;

import java.util.concurrent.TimeUnit;
import loftflow.http.ConnectionTimer;

/**
 * Closes a retired connection once no response on it can contradict an outcome any more. Until then it checks, at each
 * time at which less of the connection is needed, which outcomes have become doubtful. Not thread-safe.
 */
final class RetirementCheck {
    /** The retired connection. */
    interface Connection {
        /** Reads bytes that the kernel has received but the event loop has not read. */
        void readPending();

        /** Closes the connection, which is not needed any more. */
        void closeRetired();
    }

    private final UpstreamConnectionOwner owner;
    private final ResponseLedger<UpstreamCall> ledger;
    private final ConnectionTimer timer;
    private final Connection connection;

    RetirementCheck(
            UpstreamConnectionOwner owner,
            ResponseLedger<UpstreamCall> ledger,
            ConnectionTimer timer,
            Connection connection) {
        this.owner = owner;
        this.ledger = ledger;
        this.timer = timer;
        this.connection = connection;
    }

    /** Returns whether a response may still come that contradicts an outcome. */
    boolean isNeeded() {
        return !ledger.isSurplusExhausted() && nextCheckMicros() > 0;
    }

    private long nextCheckMicros() {
        return ledger.nextCheckMicros(owner.nowMicros(), owner.isSingleUse());
    }

    /** Starts the timer of the next check; to be called while {@link #isNeeded}. */
    void start() {
        timer.start(nextCheckMicros() - owner.nowMicros(), TimeUnit.MICROSECONDS, this::run);
    }

    private void run() {
        connection.readPending();
        if (owner.isSingleUse()) {
            ledger.onDeadlines(owner.nowMicros()).forEach(UpstreamCall::onOutcomeContradicted);
        }
        if (isNeeded()) {
            start();
        } else {
            connection.closeRetired();
        }
    }
}
