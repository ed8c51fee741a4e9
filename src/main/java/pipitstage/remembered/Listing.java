package pipitstage.remembered;

import pipitstage.Policy;
import pipitstage.Policy.Availability;

/** An entry of a list and its address in digits with a port. */
public record Listing(Policy.Listed listed, String address) {
    public String id() {
        return listed.route();
    }

    boolean inService() {
        return listed.availability() == Availability.LISTED;
    }

    /** The same endpoint, gone. */
    Listing gone() {
        return new Listing(
                new Policy.Listed(
                        listed.route(),
                        listed.destination(),
                        listed.kind(),
                        listed.zone(),
                        Availability.REMOVED,
                        listed.rate()),
                address);
    }
}
