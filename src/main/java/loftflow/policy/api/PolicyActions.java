package loftflow.policy.api;

/** What a module may do; each call takes effect at the time of the round. */
public interface PolicyActions {
    /**
     * Starts the next attempt of a request.
     *
     * @param timeout how long its answer is waited for; 0 means until the request's deadline
     * @param leaveWithin an attempt that has not begun to leave after so long ends as not sent; 0 means no bound
     */
    void send(long id, String route, long timeout, long leaveWithin);

    /** Stops waiting for an attempt. */
    void cancel(long id, int attempt);

    /** Ends a request as safe to hand in again, after {@code retryIn} where that is above 0. */
    void reject(long id, long retryIn);

    /** Ends a request; whether it took effect stays untold. */
    void fail(long id);

    /** Asks for a {@link TimerFired} after a delay. */
    void setTimer(long name, long delay);

    /** Sends a check to a route; it counts as a call there. */
    void probe(String route);

    /** True where whoever is to hear how a request ended has heard it: until then those after it in order wait. */
    default boolean isCompletionAcknowledged(long id) {
        return true;
    }

    /** Closes this relay's idle connections to a route. */
    void closeIdleConnections(String route);

    /** Sends a note to one relay, or to all where {@code relay} is negative. */
    void sendToPeer(int relay, byte[] bytes);

    /** Asks for changes of the list from now on, or for no more of them. */
    void subscribe(boolean on);

    /** Asks for the whole list once. */
    void fetchEndpointList();

    /** Writes a line for staff. */
    void log(String text);
}
