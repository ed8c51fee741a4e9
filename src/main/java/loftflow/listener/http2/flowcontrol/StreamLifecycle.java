package loftflow.listener.http2.flowcontrol;

/**
 * The state machine of one stream. Once its message is in the journal, the client can't revoke it: a later reset only
 * discards the response. Only REFUSED_STREAM and GOAWAY tell a client that a request was not processed (RFC 9113,
 * section 8.7).
 */
public final class StreamLifecycle {
    /** The state of a stream. */
    public enum State {
        /** Its request is not completely received. */
        READING,
        /** Its message is accepted, and its response is outstanding. */
        ACCEPTED,
        /** It has its response, or its client no longer awaits one. */
        CLOSED
    }

    /** An event on a stream. */
    public enum Event {
        /** Its request is completely received, and its message is submitted to the journal. */
        JOURNALED,
        /** Its response is available. */
        RESPONDED,
        /** Its client has reset it. */
        RESET,
        /** Its connection is lost. */
        CONNECTION_LOST,
        /** Its request is rejected before it is completely received. */
        REJECTED
    }

    /** The action that an event requires. */
    public enum Action {
        /** Do nothing. */
        NONE,
        /** Send the response. */
        RESPOND,
        /** Process the message without its client, and report its outcome by a completion notice. */
        CONTINUE_WITHOUT_CLIENT,
        /** Discard the partial request; the message was not accepted. */
        DISCARD
    }

    private State state = State.READING;

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /**
     * Applies an event and returns the action that it requires.
     *
     * @throws IllegalStateException if the event is impossible in the current state
     */
    public Action apply(Event event) {
        State before = state;
        switch (event) {
            case JOURNALED -> {
                require(before == State.READING, event);
                state = State.ACCEPTED;
                return Action.NONE;
            }
            case RESPONDED, REJECTED -> {
                require(event == Event.RESPONDED || before != State.ACCEPTED, event);
                state = State.CLOSED;
                return before == State.CLOSED ? Action.NONE : Action.RESPOND;
            }
            default -> {
                state = State.CLOSED;
                return switch (before) {
                    case READING -> Action.DISCARD;
                    case ACCEPTED -> Action.CONTINUE_WITHOUT_CLIENT;
                    case CLOSED -> Action.NONE;
                };
            }
        }
    }

    private void require(boolean isPossible, Event event) {
        if (!isPossible) {
            throw new IllegalStateException("HTTP/2 stream: event " + event + " is impossible in state " + state);
        }
    }
}
