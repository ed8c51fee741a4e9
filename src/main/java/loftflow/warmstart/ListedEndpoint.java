package loftflow.warmstart;

import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/**
 * An entry of an endpoint list.
 *
 * @param address a numeric IP address and a port; an IPv6 address stands in brackets
 */
public record ListedEndpoint(EndpointEntry entry, String address) {
    /** The endpoint's id, which is the id of its route. */
    public String id() {
        return entry.route();
    }

    boolean isInService() {
        return entry.availability() == Availability.LISTED;
    }

    /** The same endpoint, marked as removed. */
    ListedEndpoint removed() {
        return new ListedEndpoint(entry.withAvailability(Availability.REMOVED), address);
    }
}
