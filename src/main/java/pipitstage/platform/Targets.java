package pipitstage.platform;

import java.util.ArrayList;
import java.util.List;
import pipitstage.Fields;
import pipitstage.Policy;
import pipitstage.WireException;
import pipitstage.engine.Target;
import pipitstage.log.Log;

/** Hosts as discovery lists them (PROTOCOL, Discovery). */
public final class Targets {
    private Targets() { }

    /** Reads the entries of a list; one that makes no sense is logged and passed over. */
    public static List<Target> readAll(Fields list) {
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
        return new Target(listed, Target.address(entry.text("endpoint")));
    }
}
