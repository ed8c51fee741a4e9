package pipitstage.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import pipitstage.Fields;
import pipitstage.Policy;
import pipitstage.WireException;

/** A host in discovery's list and the address at which this relay reaches it. */
record Target(Policy.Listed listed, InetSocketAddress address) {

    /** Reads the entries of a list; one that makes no sense is logged and passed over. */
    static List<Target> readAll(Fields list) {
        List<Target> targets = new ArrayList<>();
        for (Object json : list.list("targets")) {
            try {
                targets.add(read(Fields.ofObject("targets", json)));
            } catch (WireException | IllegalArgumentException e) {
                Log.line("discovery: an entry is passed over: " + e.getMessage());
            }
        }
        return targets;
    }

    private static Target read(Fields entry) {
        Policy.Availability availability = switch (entry.text("state")) {
            case "in_service" -> Policy.Availability.LISTED;
            case "terminating" -> Policy.Availability.DRAINING;
            case "terminated" -> Policy.Availability.REMOVED;
            default -> throw new WireException("unknown state " + entry.text("state"));
        };
        Policy.Listed listed = new Policy.Listed(entry.text("uid"), (int) entry.whole("pod_group"),
                entry.text("model"), entry.text("az"), availability, entry.number("capacity_hint", 0));
        return new Target(listed, Config.address(entry.text("endpoint")));
    }
}
