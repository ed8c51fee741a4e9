package pipitstage.remembered;

import pipitstage.Policy;

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
public record Known(
        Policy.Listed listed,
        String address,
        State state,
        long listedAt,
        long answeredAt,
        long failedAt,
        long returnedAt,
        Policy.Standing standing) {

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
    public static Known fresh(Policy.Listed listed, String address, long now) {
        return new Known(listed, address, State.LISTED, now, 0, 0, 0, null);
    }

    public String id() {
        return listed.route();
    }

    /** The same in another state. */
    public Known in(State next) {
        return new Known(listed, address, next, listedAt, answeredAt, failedAt, returnedAt, standing);
    }

    /** The same with what the module knows. */
    public Known with(Policy.Standing next) {
        return new Known(listed, address, state, listedAt, answeredAt, failedAt, returnedAt, next);
    }

    /** The same, listed again, with the entry that lists it. */
    public Known listed(Policy.Listed entry, String at, long now) {
        return new Known(entry, at, State.LISTED, now, answeredAt, failedAt, returnedAt, standing);
    }

    /** The same with evidence that is no later. */
    public Known notAfter(long latest) {
        return new Known(
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
    public Known answered(long now) {
        return new Known(listed, address, state, listedAt, now, failedAt, returnedAt, standing);
    }

    /** The same after a call with no answer. */
    public Known failed(long now) {
        return new Known(listed, address, state, listedAt, answeredAt, now, returnedAt, standing);
    }

    /** The same, back after it was out. */
    public Known returned(long now) {
        return new Known(listed, address, state, listedAt, answeredAt, failedAt, now, standing);
    }
}
