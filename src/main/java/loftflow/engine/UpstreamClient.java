package loftflow.engine;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;

/**
 * The port through which the engine calls upstreams of any protocol. Every attempt that is sent ends by exactly one
 * call of {@link ResultListener#onAttemptCompleted}, every probe by one of {@link ResultListener#onProbeCompleted};
 * both may be called before {@code send} or {@code probe} returns. An implementation never retries by itself. To be
 * called on the event loop.
 */
public interface UpstreamClient {
    /** Receives the results of attempts and probes, on the event loop. */
    interface ResultListener {
        /**
         * An attempt ended.
         *
         * @param messageClosed the upstream needs nothing more for its message
         * @param retryAfterMicros how long the upstream requested to be sent nothing; 0 where it did not
         */
        void onAttemptCompleted(
                Message.Attempt attempt,
                AttemptOutcome outcome,
                boolean messageClosed,
                long retryAfterMicros,
                LimitReport limitReport);

        /** An upstream requested to be sent nothing for a while; the call that carried this ends separately. */
        void onRetryAfter(String route, long retryAfterMicros);

        /** An upstream reported that a message took effect after its attempt had timed out. */
        void onLateDelivery(Message.Attempt attempt);

        /**
         * A probe ended.
         *
         * @param retryAfterMicros how long the upstream requested to be sent nothing; 0 where it did not
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
     * @param latestArrivalMicros the latest time at which the upstream may receive it, on the {@link Clock}: an attempt
     *     that can't arrive by then, because it waits for a connection or is the first on a new one, ends as not sent.
     *     {@link Long#MAX_VALUE} for no bound
     */
    record OutboundAttempt(Message.Attempt attempt, long timeoutMicros, long latestArrivalMicros) {}

    /** An endpoint list was received; endpoints that drain or are gone are sent nothing new from now on. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints);

    /** Sends the attempts of one round to one route, in as few calls as the protocol allows. */
    void send(String route, List<OutboundAttempt> attempts);

    /** Cancels an attempt; without effect where it has ended. */
    void cancel(Message.Attempt attempt);

    /** Sends a health check to a route; it counts as a call there. */
    void probe(String route);

    /** Closes idle connections to a route. */
    void closeIdleConnections(String route);
}
