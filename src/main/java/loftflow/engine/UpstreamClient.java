package loftflow.engine;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;

/**
 * The port through which the engine calls partners of any kind. Every attempt that is sent ends by exactly one call
 * of {@link ResultListener#onAttemptCompleted}, every probe by one of {@link ResultListener#onProbeCompleted}; both may
 * come before {@code send} or
 * {@code probe} returns. Nothing is sent a second time by itself. To be called on the event loop only.
 */
public interface UpstreamClient {
    /** Takes in what became of attempts and probes. */
    interface ResultListener {
        /**
         * An attempt ended.
         *
         * @param over nothing more is owed for its message
         * @param wait how long the partner told this relay to wait, in microseconds; 0 where it did not
         */
        void onAttemptCompleted(
                Message.Attempt attempt, AttemptOutcome result, boolean over, long wait, LimitReport report);

        /** A partner has told this relay to wait; what becomes of the call that it told so is told for itself. */
        void onRetryAfter(String route, long wait);

        /** A partner has answered, after its attempt ended as timed out, that the message took effect. */
        void onLateDelivery(Message.Attempt attempt);

        /** A probe ended after so many microseconds; {@code wait} as above. */
        void onProbeCompleted(String route, AttemptOutcome result, long wait, long elapsed, LimitReport report);
    }

    /**
     * An attempt to send.
     *
     * @param timeoutMicros how many microseconds its answer is waited for
     * @param latestArrivalMicros when a partner may meet it at the latest, on the clock of messages: what can't be
     *     there by then, since
     *     it still waits for a connection or is the first on one, ends as not sent. {@link Long#MAX_VALUE} where that
     *     is no matter
     */
    record OutboundAttempt(Message.Attempt attempt, long timeoutMicros, long latestArrivalMicros) {}

    /** Takes in a list of hosts; what drains or is gone is sent nothing new from now on. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> targets);

    /** Sends what one round has for one route, in as few calls as its kind allows. */
    void send(String route, List<OutboundAttempt> outgoing);

    /** Gives up one attempt; one that is over already stays as it is. */
    void cancel(Message.Attempt attempt);

    /** Asks a route how it fares; it counts as a call there. */
    void probe(String route);

    /** Closes idle connections to a route. */
    void closeIdleConnections(String route);
}
