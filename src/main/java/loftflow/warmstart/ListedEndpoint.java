package loftflow.warmstart;

import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/**
 * An entry of an endpoint list.
 *
 * @param address a numeric IP address and a port; an IPv6 address stands in brackets
 */
public record ListedEndpoint(EndpointEntry listed, String address) {
    /** The endpoint's id, which is the id of its route. */
    public String id() {
        return listed.route();
    }

    boolean isInService() {
        return listed.availability() == Availability.LISTED;
    }

    /** The same endpoint, marked as removed. */
    ListedEndpoint removed() {
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
