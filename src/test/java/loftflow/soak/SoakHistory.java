package loftflow.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Observations of clients, upstreams and discovery in one run; times are {@link System#nanoTime}. Thread-safe. */
final class SoakHistory {
    /** The answer that a client received to a message. */
    enum Answer {
        /** The relay is responsible for the message and owes a completion. */
        ACCEPTED,
        /** The message has not been executed and may be submitted again. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** The relay ended the connection without an answer, though it was open when the request was written. */
        CUT_OFF,
        /** The client timed out, or the process ended. */
        NONE
    }

    /**
     * A message that a client submitted.
     *
     * @param front the protocol of the client
     * @param orderingKey null if the message has none
     * @param sequence position among the messages of the run, in order of submission
     */
    record Submission(
            String id,
            MessageClass type,
            String front,
            String orderingKey,
            long sequence,
            long sentAtNanos,
            long deadlineNanos,
            long answeredAtNanos,
            Answer answer) {}

    /**
     * A message that an upstream received whole.
     *
     * @param endpoint the endpoint's name, or {@link #OTHER_SERVICE} if another service has taken over its address
     * @param mayHaveExecuted whether the message took effect, or may have taken effect
     * @param deliveredAtNanos when a response reported the delivery, or {@link #NEVER}
     * @param response the upstream's behavior, for findings
     */
    record Receipt(
            String id,
            String endpoint,
            long firstByteNanos,
            boolean mayHaveExecuted,
            long deliveredAtNanos,
            String response) {}

    /** The interval of a Retry-After, in which the endpoint must not receive requests, but for those in transit. */
    record RetryAfter(String endpoint, long fromNanos, long untilNanos) {}

    /** A completion that the relay reported, with one of the results of {@code CompletionProtocol}. */
    record Completion(String id, String result, long atNanos) {}

    /** An endpoint that must not receive new messages, and the time at which this counts as announced to the relay. */
    record Withdrawal(String endpoint, long announcedAtNanos) {}

    /**
     * A restart.
     *
     * @param signalNanos when the first signal that ends the process was sent
     * @param readyNanos when the next process was ready
     * @param exitCode of the process that ended
     * @param wasKilled whether the process had to be killed
     */
    record Restart(long signalNanos, long endedNanos, long readyNanos, int exitCode, boolean wasKilled) {}

    static final String OTHER_SERVICE = "other-service";
    static final long NEVER = Long.MAX_VALUE;

    /** How long a process may be unable to record what it has learned; 0 if its disk does not fail. */
    volatile long unrecordedNanos;

    final List<Submission> submissions = new CopyOnWriteArrayList<>();
    final List<Receipt> receipts = new CopyOnWriteArrayList<>();
    final List<RetryAfter> retryAfters = new CopyOnWriteArrayList<>();
    final List<Completion> completions = new CopyOnWriteArrayList<>();
    final List<Withdrawal> withdrawals = new CopyOnWriteArrayList<>();
    final List<Restart> restarts = new CopyOnWriteArrayList<>();
    /** Faults observed during the run: an unexpected exit, an exception in a log, a message left open in the journal. */
    final List<String> incidents = new CopyOnWriteArrayList<>();
    /** Intervals in which a thread of the harness or of the relay waited for CPU. */
    final StallMonitor stalls = new StallMonitor();
}
