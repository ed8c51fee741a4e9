package loftflow.warmstart;

import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;

/**
 * What is remembered of an endpoint. Times are the relay's own, in microseconds; 0 for never.
 *
 * @param address digits and a port
 * @param listedAt when discovery last told that it is in service
 * @param answeredAt when it last answered a call, whatever it answered
 * @param failedAt when a call to it last failed with no answer
 * @param returnedAt when it served again after it was out; it is cold until its warm-up has passed
 * @param standing what the decision module knew of it; null where that is nothing
 */
public record KnownEndpoint(
        EndpointEntry listed,
        String address,
        State state,
        long listedAt,
        long answeredAt,
        long failedAt,
        long returnedAt,
        RouteSnapshot standing) {

    /** What is known of its membership. */
    public enum State {
        /** In service, when last told. */
        LISTED,
        /** Wants nothing new, or is gone, when last told. */
        GONE,
        /** Struck out by this relay: its address answered as something else, or refused or hung twice. */
        STRUCK
    }

    /** An endpoint that discovery lists and that nothing else is known of. */
    public static KnownEndpoint fresh(EndpointEntry listed, String address, long now) {
        return new KnownEndpoint(listed, address, State.LISTED, now, 0, 0, 0, null);
    }

    public String id() {
        return listed.route();
    }

    /** The same in another state. */
    public KnownEndpoint in(State next) {
        return new KnownEndpoint(listed, address, next, listedAt, answeredAt, failedAt, returnedAt, standing);
    }

    /** The same with what the module knows. */
    public KnownEndpoint with(RouteSnapshot next) {
        return new KnownEndpoint(listed, address, state, listedAt, answeredAt, failedAt, returnedAt, next);
    }

    /** The same, listed again, with the entry that lists it. */
    public KnownEndpoint listed(EndpointEntry entry, String at, long now) {
        return new KnownEndpoint(entry, at, State.LISTED, now, answeredAt, failedAt, returnedAt, standing);
    }

    /** The same with evidence that is no later. */
    public KnownEndpoint notAfter(long latest) {
        return new KnownEndpoint(
                listed,
                address,
                state,
                Math.min(listedAt, latest),
                Math.min(answeredAt, latest),
                failedAt,
                returnedAt,
                standing);
    }

    /** The same after an answer. */
    public KnownEndpoint answered(long now) {
        return new KnownEndpoint(listed, address, state, listedAt, now, failedAt, returnedAt, standing);
    }

    /** The same after a call with no answer. */
    public KnownEndpoint failed(long now) {
        return new KnownEndpoint(listed, address, state, listedAt, answeredAt, now, returnedAt, standing);
    }

    /** The same, back after it was out. */
    public KnownEndpoint returned(long now) {
        return new KnownEndpoint(listed, address, state, listedAt, answeredAt, failedAt, now, standing);
    }
}
