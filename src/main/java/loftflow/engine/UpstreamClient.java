package loftflow.engine;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;

/**
 * The port through which the engine calls upstreams of any protocol. Every attempt that is passed to {@link #send} is
 * reported by exactly one call of {@link ResultListener#onAttemptCompleted}, and every probe by exactly one call of
 * {@link ResultListener#onProbeCompleted}; both may be called before {@code send} or {@code probe} returns. An
 * implementation never retries on its own. To be called on the event loop.
 */
public interface UpstreamClient {
    /** Receives the results of attempts and probes, on the event loop. */
    interface ResultListener {
        /**
         * Called when an attempt ended. A message whose attempt ended as {@link AttemptOutcome#OK} is never sent again.
         *
         * @param messageClosed whether the upstream needs no further attempt of the message; false with {@link
         *     AttemptOutcome#OK} if the delivery was reported so late that the upstream may not count it
         * @param retryAfterMicros the time for which the upstream asked to receive nothing, in microseconds; 0 if none
         */
        void onAttemptCompleted(
                Message.Attempt attempt,
                AttemptOutcome outcome,
                boolean messageClosed,
                long retryAfterMicros,
                LimitReport limitReport);

        /**
         * Called when an upstream asked to receive nothing for a time; the end of the call that carried the request is
         * reported separately.
         */
        void onRetryAfter(String route, long retryAfterMicros);

        /**
         * Called when an upstream reported a message as delivered after its attempt had timed out or was cancelled.
         *
         * @param isCounted false if the report came so late that the upstream may not count the delivery
         */
        void onLateDelivery(Message.Attempt attempt, boolean isCounted);

        /**
         * Called when a later response contradicts the one that ended an attempt, so that the attempt may or may not
         * have been executed, whatever outcome was reported.
         */
        void onOutcomeDisproved(Message.Attempt attempt);

        /**
         * Called when a probe ended.
         *
         * @param retryAfterMicros the time for which the upstream asked to receive nothing, in microseconds; 0 if none
         * @param elapsedMicros the duration of the probe, in microseconds
         */
        void onProbeCompleted(
                String route,
                AttemptOutcome outcome,
                long retryAfterMicros,
                long elapsedMicros,
                LimitReport limitReport);
    }

    /**
     * An attempt to send.
     *
     * @param timeoutMicros how long to wait for the response, in microseconds
     * @param latestArrivalMicros the latest time on the {@link Clock} at which the upstream may receive the attempt; an
     *     attempt that can't arrive by then, because it waits for a connection or is the first on a new one, ends as
     *     not sent; {@link Long#MAX_VALUE} for no bound
     * @param mayRepeat whether another attempt is harmless even if this one was executed
     * @param mayShareCall whether other attempts may travel in the same call
     */
    record OutboundAttempt(
            Message.Attempt attempt,
            long timeoutMicros,
            long latestArrivalMicros,
            boolean mayRepeat,
            boolean mayShareCall) {
        /** Creates an attempt that must not be repeated once it may have been executed, and that may share a call. */
        public OutboundAttempt(Message.Attempt attempt, long timeoutMicros, long latestArrivalMicros) {
            this(attempt, timeoutMicros, latestArrivalMicros, false, true);
        }
    }

    /** Called when an endpoint list was received; from then on, draining and removed endpoints get no new attempts. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints);

    /** Sends the attempts of one round to one route, in as few calls as the protocol and the attempts allow. */
    void send(String route, List<OutboundAttempt> attempts);

    /** Cancels an attempt; has no effect if it has ended. */
    void cancel(Message.Attempt attempt);

    /**
     * Ends every call that may still execute a message, whatever outcomes its attempts have, so that the message can be
     * sent again without being outstanding twice. Other attempts that share such a call and have no outcome end with
     * it. A response that has arrived takes effect first. An implementation whose calls end with their last outcome has
     * nothing to do.
     */
    default void endCalls(String messageId) {}

    /**
     * Returns whether a call may still execute a message, whatever outcomes its attempts have, and its response is
     * awaited for a limited time.
     */
    default boolean isOutstanding(String messageId) {
        return false;
    }

    /** Sends a probe to a route, where it counts as a call. */
    void probe(String route);

    /** Closes idle connections to a route. */
    void closeIdleConnections(String route);

    /** Reads and applies the responses that have arrived and that the event loop has not read. */
    default void readPending() {}
}
