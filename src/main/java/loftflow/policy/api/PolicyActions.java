package loftflow.policy.api;

/**
 * What a policy may do in a round. Each call takes effect at the time of the round, in the order of the calls.
 * Durations are microseconds.
 */
public interface PolicyActions {
    /**
     * Starts the next attempt of a message.
     *
     * @param id the message
     * @param route the endpoint that it goes to
     * @param timeoutMicros how long an answer is waited for; 0 means until the message's deadline
     * @param leaveWithinMicros an attempt whose first byte has not left after this long ends as not sent; 0 means no
     *     bound
     */
    void send(long id, String route, long timeoutMicros, long leaveWithinMicros);

    /** Stops waiting for an attempt. */
    void cancel(long id, int attempt);

    /**
     * Ends a message as one that may safely be handed in again.
     *
     * @param retryAfterMicros when the client had better do so; 0 where that is not known
     */
    void reject(long id, long retryAfterMicros);

    /** Ends a message as failed; whether it took effect is not reported. */
    void fail(long id);

    /**
     * Sets a timer, in addition to those that are set.
     *
     * @param timer the name that {@link TimerFired} will carry
     */
    void setTimer(long timer, long delayMicros);

    /** Sends a health check to a route; it counts as a call there. */
    void probe(String route);

    /**
     * True where whoever is to be notified of a message's completion has acknowledged it; until then later messages of
     * its ordering key wait.
     */
    default boolean isCompletionAcknowledged(long id) {
        return true;
    }

    /** Closes this relay's idle connections to a route. */
    void closeIdleConnections(String route);

    /**
     * Sends a message to another relay of the fleet.
     *
     * @param relay its index; all relays where negative
     */
    void sendToPeer(int relay, byte[] payload);

    /** Subscribes to changes of the endpoint list, or ends the subscription. */
    void subscribe(boolean on);

    /** Requests the whole endpoint list once. */
    void fetchEndpointList();

    /** Writes a line to the operators' log. */
    void log(String text);
}
