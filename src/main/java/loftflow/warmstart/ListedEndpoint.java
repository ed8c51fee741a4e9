package loftflow.warmstart;

import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/**
 * An entry of an endpoint list.
 *
 * @param address a numeric IP address and a port; an IPv6 address is enclosed in brackets
 */
public record ListedEndpoint(EndpointEntry entry, String address) {
    /** Returns the endpoint's id, which is the id of its route. */
    public String id() {
        return entry.route();
    }

    boolean isInService() {
        return entry.availability() == Availability.LISTED;
    }

    /** Returns a copy that is marked as removed. */
    ListedEndpoint removed() {
        return new ListedEndpoint(entry.withAvailability(Availability.REMOVED), address);
    }
}
