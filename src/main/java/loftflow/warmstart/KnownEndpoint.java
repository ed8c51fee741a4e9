package loftflow.warmstart;

import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;

/**
 * What a relay knows of one endpoint. Immutable. Times are the relay's own, in microseconds; 0 for never.
 *
 * @param listed its latest entry in a list
 * @param address a numeric IP address and a port
 * @param state its membership
 * @param listedAt when discovery last listed it as in service
 * @param answeredAtMicros when it last answered a call, with whatever status
 * @param failedAtMicros when a call to it last failed without an answer
 * @param recoveredAtMicros when it answered again after it had failed; it is cold until its warm-up is over
 * @param standing what the decision module knows of its route; null where it knows nothing
 */
public record KnownEndpoint(
        EndpointEntry listed,
        String address,
        State state,
        long listedAt,
        long answeredAtMicros,
        long failedAtMicros,
        long recoveredAtMicros,
        RouteSnapshot standing) {

    /** Membership of an endpoint. */
    public enum State {
        /** Listed as in service. */
        LISTED,
        /** Draining or removed. */
        OUT_OF_SERVICE,
        /** Ejected by this relay: its address gave an unexpected response, or refused calls or hung repeatedly. */
        STRUCK
    }

    /** An endpoint of which nothing but its listing is known. */
    public static KnownEndpoint newlyListed(EndpointEntry entry, String address, long nowMicros) {
        return new KnownEndpoint(entry, address, State.LISTED, nowMicros, 0, 0, 0, null);
    }

    /** The endpoint's id, which is the id of its route. */
    public String id() {
        return listed.route();
    }

    boolean isListed() {
        return state == State.LISTED;
    }

    /** The route snapshot, or one without any knowledge where there is none. */
    RouteSnapshot routeSnapshotOrUnknown() {
        return standing != null ? standing : RouteSnapshots.unknown(id());
    }

    /** A copy with another state. */
    public KnownEndpoint withState(State newState) {
        return new KnownEndpoint(
                listed, address, newState, listedAt, answeredAtMicros, failedAtMicros, recoveredAtMicros, standing);
    }

    /** A copy with another route snapshot. */
    public KnownEndpoint withRouteSnapshot(RouteSnapshot newSnapshot) {
        return new KnownEndpoint(
                listed, address, state, listedAt, answeredAtMicros, failedAtMicros, recoveredAtMicros, newSnapshot);
    }

    /** A copy that is listed with a new entry and address. */
    public KnownEndpoint withListing(EndpointEntry entry, String newAddress, long nowMicros) {
        return new KnownEndpoint(
                entry,
                newAddress,
                State.LISTED,
                nowMicros,
                answeredAtMicros,
                failedAtMicros,
                recoveredAtMicros,
                standing);
    }

    /** The same as {@link #withListing}. */
    public KnownEndpoint listed(EndpointEntry entry, String newAddress, long nowMicros) {
        return withListing(entry, newAddress, nowMicros);
    }

    /** A copy whose evidence of being in service (its last listing and answer) is no later than the given time. */
    public KnownEndpoint withEvidenceNoLaterThan(long latestMicros) {
        return new KnownEndpoint(
                listed,
                address,
                state,
                Math.min(listedAt, latestMicros),
                Math.min(answeredAtMicros, latestMicros),
                failedAtMicros,
                recoveredAtMicros,
                standing);
    }

    /** A copy that has just answered a call. */
    public KnownEndpoint withAnswer(long nowMicros) {
        return new KnownEndpoint(
                listed, address, state, listedAt, nowMicros, failedAtMicros, recoveredAtMicros, standing);
    }

    /** A copy for which a call has just failed without an answer. */
    public KnownEndpoint withFailure(long nowMicros) {
        return new KnownEndpoint(
                listed, address, state, listedAt, answeredAtMicros, nowMicros, recoveredAtMicros, standing);
    }

    /** A copy that has just recovered. */
    public KnownEndpoint withRecovery(long nowMicros) {
        return new KnownEndpoint(
                listed, address, state, listedAt, answeredAtMicros, failedAtMicros, nowMicros, standing);
    }
}
