package loftflow.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** What clients, upstreams and discovery saw in one run. Times are on {@link System#nanoTime}. Thread-safe. */
final class SoakHistory {
    /** What a client learned of a message that it handed in. */
    enum Answer {
        /** The relay owes the message its end. */
        ACCEPTED,
        /** Handing it in again is harmless. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** The relay ended the connection, which was open when the request was written, with no answer. */
        CUT_OFF,
        /** No answer came within the client's time, or the process was killed. */
        NONE
    }

    /**
     * A message that a client handed in.
     *
     * @param orderingKey null where the message has none
     * @param sequence order in which the client handed its messages in
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
     * A message that reached an upstream whole.
     *
     * @param endpoint the endpoint's name; {@link #OTHER_SERVICE} where another service answers at its address
     * @param ran whether the message took effect, or may have
     * @param deliveredAtNanos when a response said that it is delivered; {@link #NEVER} where none did
     * @param response how the upstream met it, for findings
     */
    record Receipt(
            String id, String endpoint, long firstByteNanos, boolean ran, long deliveredAtNanos, String response) {}

    /** The wait that an endpoint told: nothing may reach it from shortly after until its end. */
    record ToldWait(String endpoint, long fromNanos, long untilNanos) {}

    /** A completion that was reported, with one of the results of {@code CompletionProtocol}. */
    record End(String id, String result, long atNanos) {}

    /** An endpoint that is to get nothing new, and when this counts as told to the relay. */
    record Withdrawal(String endpoint, long toldAtNanos) {}

    /**
     * A restart.
     *
     * @param signalNanos the first signal that ends the process
     * @param readyNanos when the next process was ready
     * @param exitCode of the process that ended
     * @param wasKilled whether the process had to be killed
     */
    record Restart(long signalNanos, long endedNanos, long readyNanos, int exitCode, boolean wasKilled) {}

    static final String OTHER_SERVICE = "other-service";
    static final long NEVER = Long.MAX_VALUE;

    final List<Submission> submissions = new CopyOnWriteArrayList<>();
    final List<Receipt> receipts = new CopyOnWriteArrayList<>();
    final List<ToldWait> waits = new CopyOnWriteArrayList<>();
    final List<End> ends = new CopyOnWriteArrayList<>();
    final List<Withdrawal> withdrawals = new CopyOnWriteArrayList<>();
    final List<Restart> restarts = new CopyOnWriteArrayList<>();
    /** Faults that were seen as they happened: an exit that nobody asked for, an exception in a log. */
    final List<String> incidents = new CopyOnWriteArrayList<>();
    /** Intervals in which a thread had no CPU, of the harness and of the relay. */
    final StallMonitor stalls = new StallMonitor();
}
