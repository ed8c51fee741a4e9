package loftflow.policy;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

final class Destination {
    final Map<String, Route> routes = new LinkedHashMap<>();
    final Set<PendingMessage> waiting = new LinkedHashSet<>();
    final DecayingCounter came = new DecayingCounter();
    final DecayingCounter lost = new DecayingCounter();
}
