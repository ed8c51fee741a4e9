package loftflow.warmstart;

import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/** An entry of a list and its address in digits with a port. */
public record ListedEndpoint(EndpointEntry listed, String address) {
    public String id() {
        return listed.route();
    }

    boolean inService() {
        return listed.availability() == Availability.LISTED;
    }

    /** The same endpoint, gone. */
    ListedEndpoint gone() {
        return new ListedEndpoint(
                new EndpointEntry(
                        listed.route(),
                        listed.destination(),
                        listed.kind(),
                        listed.zone(),
                        Availability.REMOVED,
                        listed.ratePerSecond()),
                address);
    }
}
