package loftflow.policy;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Where messages are addressed to: its routes, and the messages that wait for one. */
final class Destination {
    final Map<String, Route> routes = new LinkedHashMap<>();
    final Set<PendingMessage> waitingMessages = new LinkedHashSet<>();
    /** Messages accepted. */
    final DecayingCounter arrivals = new DecayingCounter();
    /** Messages whose time was up before they were delivered. */
    final DecayingCounter expirations = new DecayingCounter();
}
