package loftflow.policy;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A destination of messages: its routes, and the messages that wait for one of them. */
final class Destination {
    final Map<String, Route> routes = new LinkedHashMap<>();
    final Set<PendingMessage> waitingMessages = new LinkedHashSet<>();
    /** Accepted messages. */
    final DecayingCounter arrivals = new DecayingCounter();
    /** Messages that expired before they were delivered. */
    final DecayingCounter expirations = new DecayingCounter();
}
