package loftflow.policy.api;

/**
 * An endpoint as listed by discovery.
 *
 * @param route name of the endpoint, identical at every relay
 * @param destination number of the destination that the endpoint belongs to
 * @param kind name of the destination's kind; may be unknown to the settings
 * @param zone name of the endpoint's zone
 * @param ratePerSecond calls per second for all relays together, trusted as far as the {@link RateHint} of the settings
 *     allows
 */
public record EndpointEntry(
        String route, int destination, String kind, String zone, Availability availability, double ratePerSecond) {
    /** Returns a copy of this entry with another availability. */
    public EndpointEntry withAvailability(Availability newAvailability) {
        return new EndpointEntry(route, destination, kind, zone, newAvailability, ratePerSecond);
    }
}
