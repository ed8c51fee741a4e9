package pipitstage.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pipitstage.Fields;
import pipitstage.Policy;
import pipitstage.Policy.Availability;
import pipitstage.WireException;
import pipitstage.engine.Target;
import pipitstage.log.Log;

/** Hosts as discovery lists them (PROTOCOL, Discovery). */
public final class Targets {
    /**
     * What a list says.
     *
     * @param sound false where an entry could not be read: what it was to say has still to be asked for
     */
    record Reading(List<Target> targets, boolean sound) {}

    private Targets() {}

    /** Reads the entries of a list; one that makes no sense is logged and passed over. */
    public static List<Target> readAll(Fields list) {
        return read("known list", list, false, Map.of()).targets();
    }

    /**
     * As above, with what is known of hosts. Guards against an entry that makes no sense and would take away a good host, or
     * hide one that drains: what was known goes on, but for a state that can be read.
     *
     * @param from who told the list, for staff
     * @param whole true where a host that the list leaves out is gone
     */
    static Reading read(String from, Fields list, boolean whole, Map<String, Target> known) {
        if (list.value("targets") == null) {
            throw new WireException(from + ": targets: an array is needed");
        }
        List<Target> targets = new ArrayList<>();
        Set<String> named = new HashSet<>();
        boolean sound = true;
        boolean nameless = false;
        int place = 0;
        for (Object json : list.list("targets")) {
            place++;
            try {
                Target target = read(Fields.ofObject("targets", json));
                named.add(target.listed().route());
                targets.add(target);
            } catch (WireException | IllegalArgumentException | ArithmeticException e) {
                sound = false;
                Object uid = json instanceof Map<?, ?> members ? members.get("uid") : null;
                Log.line(from + ": entry " + place + (uid == null ? "" : " (" + uid + ")") + " is passed over: "
                        + e.getMessage());
                Target before = uid == null ? null : known.get(uid);
                nameless |= before == null;
                if (before != null) {
                    named.add(before.listed().route());
                    targets.add(stillAs(before, (Map<?, ?>) json));
                }
            }
        }
        if (whole && nameless) {
            known.values().stream()
                    .filter(t -> !named.contains(t.listed().route()))
                    .forEach(targets::add);
        }
        return new Reading(targets, sound);
    }

    private static Target stillAs(Target before, Map<?, ?> entry) {
        Policy.Listed l = before.listed();
        Availability now =
                switch (String.valueOf(entry.get("state"))) {
                    case "terminating" -> Availability.DRAINING;
                    case "terminated" -> Availability.REMOVED;
                    default -> l.availability();
                };
        return new Target(
                new Policy.Listed(l.route(), l.destination(), l.kind(), l.zone(), now, l.rate()), before.address());
    }

    private static Target read(Fields entry) {
        Availability availability =
                switch (entry.text("state")) {
                    case "in_service" -> Availability.LISTED;
                    case "terminating" -> Availability.DRAINING;
                    case "terminated" -> Availability.REMOVED;
                    default -> throw new WireException("unknown state " + entry.text("state"));
                };
        Policy.Listed listed = new Policy.Listed(
                entry.text("uid"),
                Math.toIntExact(entry.whole("pod_group")),
                entry.text("model"),
                entry.text("az"),
                availability,
                entry.number("capacity_hint", 0));
        return new Target(listed, Target.address(entry.text("endpoint")));
    }
}
