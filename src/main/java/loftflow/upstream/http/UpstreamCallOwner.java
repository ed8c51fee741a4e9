package loftflow.upstream.http;

import io.netty.util.concurrent.Future;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;

/** The owner of a call, which is the connection pool of the called host. */
interface UpstreamCallOwner {
    String route();

    /** Returns the host's address and port, for the {@code Host} header. */
    String authority();

    /** Returns the current time in microseconds, on the clock of message deadlines. */
    long nowMicros();

    /** Schedules a task on the event loop. */
    Future<?> schedule(long delayMicros, Runnable task);

    /**
     * Reports the outcome of an attempt.
     *
     * @param isMessageCompleted whether the message needs no further attempt
     * @param retryAfterMicros the back-off that the host requested; 0 for none
     */
    void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean isMessageCompleted,
            long retryAfterMicros,
            LimitReport report);

    /** Reports the outcome of a probe. */
    void onProbeCompleted(UpstreamCall call, AttemptOutcome outcome, long retryAfterMicros, LimitReport report);

    /**
     * Removes a call that is abandoned while it waits for a connection.
     *
     * @return {@link AttemptOutcome#CONNECT_FAILED} if a connection to the host was being opened, otherwise
     *     {@link AttemptOutcome#NOT_SENT}
     */
    AttemptOutcome removeFromQueue(UpstreamCall call);

    /** Reports that the host requested a back-off, in microseconds from now. */
    void onRetryAfter(long retryAfterMicros);

    /** Reports that a later response contradicts the one that ended an attempt. */
    void onOutcomeDisproved(Message.Attempt attempt);

    /**
     * Reports that a response named an attempt as delivered that had timed out or was cancelled before.
     *
     * @param isCounted false if the host may not count the delivery
     */
    void onLateDelivery(Message.Attempt attempt, boolean isCounted);

    /** Reports that a call can't execute a message any more. */
    void onNotOutstanding(UpstreamCall call, String messageId);

    /** Returns whether a connection may stay open to await the late response of a call. */
    boolean canAwaitLateResponse();

    /** Closes idle connections to the host, which may have failed together with the connection of this call. */
    void closeIdle();
}
