package loftflow.warmstart;

import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;

/**
 * Recorded state of one endpoint. Immutable. Times are in microseconds of the relay's own clock; 0 means never.
 *
 * @param entry the latest list entry
 * @param address a numeric IP address and a port
 * @param state the membership state
 * @param listedAtMicros when discovery last listed the endpoint as in service
 * @param answeredAtMicros when the endpoint last answered a call, with any status
 * @param failedAtMicros when a call to the endpoint last failed without an answer
 * @param recoveredAtMicros when the endpoint last recovered from failure; it is cold until its warm-up ends
 * @param routeSnapshot the decision module's state of the route; null if it has none
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

    /** Membership state of an endpoint. */
    public enum State {
        /** Listed as in service. */
        LISTED,
        /** Draining or removed. */
        OUT_OF_SERVICE,
        /** Ejected by this relay: its address gave an unexpected response, or refused calls or hung repeatedly. */
        EJECTED
    }

    /** Returns the state of an endpoint that has been listed but not yet called. */
    public static KnownEndpoint newlyListed(EndpointEntry entry, String address, long nowMicros) {
        return new KnownEndpoint(entry, address, State.LISTED, nowMicros, 0, 0, 0, null);
    }

    /** Returns the endpoint's id, which is the id of its route. */
    public String id() {
        return entry.route();
    }

    boolean isListed() {
        return state == State.LISTED;
    }

    /** Returns the route snapshot, or a blank one if there is none. */
    RouteSnapshot routeSnapshotOrUnknown() {
        return routeSnapshot != null ? routeSnapshot : RouteSnapshots.unknown(id());
    }

    /** Returns a copy with another state. */
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

    /** Returns a copy with another route snapshot. */
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

    /** Returns a copy that is listed with a new entry and address. */
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

    /** Returns a copy whose evidence of being in service (last listing, last answer) is capped to the given time. */
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

    /** Returns a copy that has just answered a call. */
    public KnownEndpoint withAnswer(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, nowMicros, failedAtMicros, recoveredAtMicros, routeSnapshot);
    }

    /** Returns a copy for which a call has just failed without an answer. */
    public KnownEndpoint withFailure(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, answeredAtMicros, nowMicros, recoveredAtMicros, routeSnapshot);
    }

    /** Returns a copy that has just recovered. */
    public KnownEndpoint withRecovery(long nowMicros) {
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, answeredAtMicros, failedAtMicros, nowMicros, routeSnapshot);
    }
}
