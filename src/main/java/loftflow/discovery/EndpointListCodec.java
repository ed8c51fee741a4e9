package loftflow.discovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.engine.Endpoint;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/** Hosts as discovery lists them (PROTOCOL, Discovery). */
public final class EndpointListCodec {
    /**
     * What a list says.
     *
     * @param sound false where an entry could not be read: what it was to say has still to be asked for
     */
    record Reading(List<Endpoint> targets, boolean sound) {}

    private EndpointListCodec() {}

    /** Reads the entries of a list; one that makes no sense is logged and passed over. */
    public static List<Endpoint> readAll(JsonFields list) {
        return read("known list", list, false, Map.of()).targets();
    }

    /**
     * As above, with what is known of hosts. Guards against an entry that makes no sense and would take away a good
     * host, or
     * hide one that drains: what was known goes on, but for a state that can be read.
     *
     * @param from who told the list, for staff
     * @param whole true where a host that the list leaves out is gone
     */
    static Reading read(String from, JsonFields list, boolean whole, Map<String, Endpoint> known) {
        if (list.value("targets") == null) {
            throw new MalformedInputException(from + ": targets: an array is needed");
        }
        List<Endpoint> targets = new ArrayList<>();
        Set<String> named = new HashSet<>();
        boolean sound = true;
        boolean nameless = false;
        int place = 0;
        for (Object json : list.list("targets")) {
            place++;
            try {
                Endpoint target = read(JsonFields.ofObject("targets", json));
                named.add(target.entry().route());
                targets.add(target);
            } catch (MalformedInputException | IllegalArgumentException | ArithmeticException e) {
                sound = false;
                Object uid = json instanceof Map<?, ?> members ? members.get("uid") : null;
                Log.line(from + ": entry " + place + (uid == null ? "" : " (" + uid + ")") + " is passed over: "
                        + e.getMessage());
                Endpoint before = uid == null ? null : known.get(uid);
                nameless |= before == null;
                if (before != null) {
                    named.add(before.entry().route());
                    targets.add(stillAs(before, (Map<?, ?>) json));
                }
            }
        }
        if (whole && nameless) {
            known.values().stream()
                    .filter(t -> !named.contains(t.entry().route()))
                    .forEach(targets::add);
        }
        return new Reading(targets, sound);
    }

    private static Endpoint stillAs(Endpoint before, Map<?, ?> entry) {
        EndpointEntry l = before.entry();
        Availability now =
                switch (String.valueOf(entry.get("state"))) {
                    case "terminating" -> Availability.DRAINING;
                    case "terminated" -> Availability.REMOVED;
                    default -> l.availability();
                };
        return new Endpoint(
                new EndpointEntry(l.route(), l.destination(), l.kind(), l.zone(), now, l.ratePerSecond()),
                before.address());
    }

    private static Endpoint read(JsonFields entry) {
        Availability availability =
                switch (entry.text("state")) {
                    case "in_service" -> Availability.LISTED;
                    case "terminating" -> Availability.DRAINING;
                    case "terminated" -> Availability.REMOVED;
                    default -> throw new MalformedInputException("unknown state " + entry.text("state"));
                };
        EndpointEntry listed = new EndpointEntry(
                entry.text("uid"),
                Math.toIntExact(entry.whole("pod_group")),
                entry.text("model"),
                entry.text("az"),
                availability,
                entry.number("capacity_hint", 0));
        return new Endpoint(listed, Endpoint.address(entry.text("endpoint")));
    }
}
