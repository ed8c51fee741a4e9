package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests every event in every state of a stream. */
class StreamLifecycleTest {
    @ParameterizedTest
    @CsvSource({
        // before, event, action, after
        "READING, JOURNALED, NONE, ACCEPTED",
        "READING, RESPONDED, RESPOND, CLOSED",
        "READING, REJECTED, RESPOND, CLOSED",
        "READING, RESET, DISCARD, CLOSED",
        "READING, CONNECTION_LOST, DISCARD, CLOSED",
        "ACCEPTED, RESPONDED, RESPOND, CLOSED",
        "ACCEPTED, RESET, CONTINUE_WITHOUT_CLIENT, CLOSED",
        "ACCEPTED, CONNECTION_LOST, CONTINUE_WITHOUT_CLIENT, CLOSED",
        "ACCEPTED, JOURNALED, IMPOSSIBLE, ACCEPTED",
        "ACCEPTED, REJECTED, IMPOSSIBLE, ACCEPTED",
        "CLOSED, RESPONDED, NONE, CLOSED",
        "CLOSED, REJECTED, NONE, CLOSED",
        "CLOSED, RESET, NONE, CLOSED",
        "CLOSED, CONNECTION_LOST, NONE, CLOSED",
        "CLOSED, JOURNALED, IMPOSSIBLE, CLOSED"
    })
    void eventLeadsToActionAndState(
            StreamLifecycle.State before, StreamLifecycle.Event event, String action, StreamLifecycle.State after) {
        StreamLifecycle lifecycle = new StreamLifecycle();
        if (before != StreamLifecycle.State.READING) {
            lifecycle.apply(
                    before == StreamLifecycle.State.ACCEPTED
                            ? StreamLifecycle.Event.JOURNALED
                            : StreamLifecycle.Event.RESET);
        }
        if (action.equals("IMPOSSIBLE")) {
            assertThrows(IllegalStateException.class, () -> lifecycle.apply(event));
        } else {
            assertEquals(StreamLifecycle.Action.valueOf(action), lifecycle.apply(event));
        }
        assertEquals(after, lifecycle.state());
    }
}
