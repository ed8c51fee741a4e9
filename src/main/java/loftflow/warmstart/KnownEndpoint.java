package loftflow.warmstart;

import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;

/**
 * What a relay knows of one endpoint. Immutable. Times are the relay's own, in microseconds; 0 for never.
 *
 * @param entry its latest entry in a list
 * @param address a numeric IP address and a port
 * @param state its membership
 * @param listedAtMicros when discovery last listed it as in service
 * @param answeredAtMicros when it last answered a call, with whatever status
 * @param failedAtMicros when a call to it last failed without an answer
 * @param recoveredAtMicros when it answered again after it had failed; it is cold until its warm-up is over
 * @param routeSnapshot what the decision module knows of its route; null where it knows nothing
 */
public record KnownEndpoint(
        EndpointEntry entry,
        String address,
        State state,
        long listedAtMicros,
        long answeredAtMicros,
        long failedAtMicros,
        long recoveredAtMicros,
        RouteSnapshot routeSnapshot) {

    /** Membership of an endpoint. */
    public enum State {
        /** Listed as in service. */
        LISTED,
        /** Draining or removed. */
        OUT_OF_SERVICE,
        /** Ejected by this relay: its address gave an unexpected response, or refused calls or hung repeatedly. */
        EJECTED
    }

    /** An endpoint of which nothing but its listing is known. */
    public static KnownEndpoint newlyListed(EndpointEntry entry, String address, long nowMicros) {
        return new KnownEndpoint(entry, address, State.LISTED, nowMicros, 0, 0, 0, null);
    }

    /** The endpoint's id, which is the id of its route. */
    public String id() {
        return entry.route();
    }

    boolean isListed() {
        return state == State.LISTED;
    }

    /** The route snapshot, or one without any knowledge where there is none. */
    RouteSnapshot routeSnapshotOrUnknown() {
        return routeSnapshot != null ? routeSnapshot : RouteSnapshots.unknown(id());
    }

    /** A copy with another state. */
    public KnownEndpoint withState(State newState) {
        return new KnownEndpoint(
                entry,
                address,
                newState,
                listedAtMicros,
                answeredAtMicros,
                failedAtMicros,
                recoveredAtMicros,
                routeSnapshot);
    }

    /** A copy with another route snapshot. */
    public KnownEndpoint withRouteSnapshot(RouteSnapshot newSnapshot) {
        return new KnownEndpoint(
                entry,
                address,
                state,
                listedAtMicros,
                answeredAtMicros,
                failedAtMicros,
                recoveredAtMicros,
                newSnapshot);
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
                routeSnapshot);
    }

    /** A copy whose evidence of being in service (its last listing and answer) is no later than the given time. */
    public KnownEndpoint withEvidenceNoLaterThan(long latestMicros) {
        return new KnownEndpoint(
                entry,
                address,
                state,
                Math.min(listedAtMicros, latestMicros),
                Math.min(answeredAtMicros, latestMicros),
                failedAtMicros,
                recoveredAtMicros,
                routeSnapshot);
    }

    /** A copy that has just answered a call. */
    public KnownEndpoint withAnswer(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, nowMicros, failedAtMicros, recoveredAtMicros, routeSnapshot);
    }

    /** A copy for which a call has just failed without an answer. */
    public KnownEndpoint withFailure(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, answeredAtMicros, nowMicros, recoveredAtMicros, routeSnapshot);
    }

    /** A copy that has just recovered. */
    public KnownEndpoint withRecovery(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, answeredAtMicros, failedAtMicros, nowMicros, routeSnapshot);
    }
}
