package loftflow.listener.http2.flowcontrol;

/**
 * How one stream ends. Once its message is in the journal, nothing that its client does takes it back: a reset after
 * that
 * tells only that nobody waits for the answer (RFC 9113, 8.7: a client may take a request as never run on
 * REFUSED_STREAM or
 * GOAWAY alone).
 */
public final class StreamLifecycle {
    /** How far a stream has come. */
    public enum State {
        /** Its request is not whole. */
        READING,
        /** Its message is in the journal, and its answer is to come. */
        TAKEN,
        /** It has its one answer, or nobody waits for it. */
        OVER
    }

    /** What happens to it. */
    public enum Event {
        /** Its request is whole and the journal has its message. */
        RECORDED,
        /** Its answer is there. */
        ANSWERED,
        /** Its client has reset it. */
        RESET,
        /** Its connection is gone. */
        LOST,
        /** It can't be read on, or not in time. */
        REFUSED
    }

    /** What is to be done. */
    public enum Deed {
        /** Nothing: nobody is owed anything, or all is done. */
        NOTHING,
        /** The answer is sent. */
        ANSWER,
        /** The message goes on to its one end, which is told as that of a client that left. */
        GO_ON,
        /** What was read is dropped; the message was never taken. */
        DROP
    }

    private State state = State.READING;

    /** How far it has come. */
    public State state() {
        return state;
    }

    /**
     * Takes in what happens.
     *
     * @throws IllegalStateException for what can't happen in its state
     */
    public Deed on(Event event) {
        State before = state;
        switch (event) {
            case RECORDED -> {
                require(before == State.READING, event);
                state = State.TAKEN;
                return Deed.NOTHING;
            }
            case ANSWERED, REFUSED -> {
                // Guards against a second answer, and against one for somebody who is gone.
                require(event == Event.ANSWERED || before != State.TAKEN, event);
                state = State.OVER;
                return before == State.OVER ? Deed.NOTHING : Deed.ANSWER;
            }
            default -> {
                state = State.OVER;
                return switch (before) {
                    case READING -> Deed.DROP;
                    case TAKEN -> Deed.GO_ON;
                    case OVER -> Deed.NOTHING;
                };
            }
        }
    }

    private void require(boolean possible, Event event) {
        if (!possible) {
            throw new IllegalStateException(event + " in " + state);
        }
    }
}
