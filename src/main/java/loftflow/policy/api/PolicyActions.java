package loftflow.policy.api;

/**
 * Actions that a policy may take in a round. Each call takes effect at the time of the round, in the order of the
 * calls. Durations are in microseconds.
 */
public interface PolicyActions {
    /**
     * Starts the next attempt of a message.
     *
     * @param id the message
     * @param route name of the route that the attempt takes
     * @param timeoutMicros maximum wait for an answer; 0 means until the message's deadline
     * @param sendTimeoutMicros maximum wait until the first byte is sent, after which the attempt ends as not sent; 0
     *     means no limit
     * @param mayShareCall whether the attempt may travel in one call with others of the round to the same route
     */
    void send(long id, String route, long timeoutMicros, long sendTimeoutMicros, boolean mayShareCall);

    /** Cancels an attempt: its answer is no longer awaited. */
    void cancel(long id, int attempt);

    /**
     * Ends a message as rejected: it may safely be handed in again.
     *
     * @param retryAfterMicros recommended wait before handing it in again; 0 if unknown
     */
    void reject(long id, long retryAfterMicros);

    /** Ends a message as failed, without reporting whether it took effect. */
    void fail(long id);

    /**
     * Sets a timer in addition to those already set.
     *
     * @param timer id that {@link TimerFired} carries
     */
    void setTimer(long timer, long delayMicros);

    /** Sends a health check to a route; it counts as a call at the destination. */
    void probe(String route);

    /**
     * Returns whether the completion notice of a message has been acknowledged; until then later messages of its
     * ordering key wait.
     */
    default boolean isCompletionAcknowledged(long id) {
        return true;
    }

    /** Closes this relay's idle connections to a route. */
    void closeIdleConnections(String route);

    /**
     * Sends a message to another relay of the fleet.
     *
     * @param relay index of the receiving relay; negative for all relays
     */
    void sendToPeer(int relay, byte[] payload);

    /**
     * Subscribes to changes of the endpoint list, or ends the subscription.
     *
     * @param on true to subscribe, false to end the subscription
     */
    void subscribe(boolean on);

    /** Requests the complete endpoint list once. */
    void fetchEndpointList();

    /** Writes a line to the operators' log. */
    void log(String text);
}
