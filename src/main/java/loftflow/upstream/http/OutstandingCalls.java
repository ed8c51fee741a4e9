package loftflow.upstream.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls that may still execute each message: from their start until they are answered, their connection closes, or
 * the message is taken out of a call that was not sent. A call can be outstanding when all its attempts have outcomes.
 * Must be used on the event loop.
 */
final class OutstandingCalls {
    private final Map<String, List<UpstreamCall>> callsByMessage = new HashMap<>();

    /** Adds a call with all its messages. */
    void add(UpstreamCall call) {
        for (String messageId : call.outstandingMessages().ids()) {
            callsByMessage
                    .computeIfAbsent(messageId, newId -> new ArrayList<>(1))
                    .add(call);
        }
    }

    /** Removes a message of a call; has no effect if it is not there. */
    void remove(UpstreamCall call, String messageId) {
        callsByMessage.computeIfPresent(messageId, (id, calls) -> {
            calls.remove(call);
            return calls.isEmpty() ? null : calls;
        });
    }

    /** Returns a copy of the calls that may still execute a message. */
    List<UpstreamCall> of(String messageId) {
        return List.copyOf(callsByMessage.getOrDefault(messageId, List.of()));
    }
}
