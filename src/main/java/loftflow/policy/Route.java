package loftflow.policy;

import java.util.ArrayDeque;
import loftflow.policy.api.EndpointEntry;

final class Route {
    final String name;
    final String kind;
    final String zone;
    final Destination destination;
    final LimitGroup group;
    final Circuit circuit;
    boolean listed;
    /** Known from an old list alone, and not proven since: a check goes first. */
    boolean unproven;
    /** As above, and only to be tried where its destination has nothing else. */
    boolean last;

    double rate;
    double placeBonus;
    double errorRate;
    double response;
    /** When the latest call that was answered had been sent. */
    long provenFrom;

    long answeredAt;
    final ArrayDeque<Call> out = new ArrayDeque<>();

    Route(EndpointEntry entry, Destination destination, LimitGroup group, boolean apart) {
        name = entry.route();
        kind = entry.kind();
        zone = entry.zone();
        this.destination = destination;
        this.group = group;
        circuit = apart ? group.circuit : new Circuit();
    }
}
