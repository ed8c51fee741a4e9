package loftflow.policy.api;

/**
 * An endpoint as discovery lists it.
 *
 * @param route the endpoint's name, the same at every relay
 * @param destination the number of the destination that it belongs to
 * @param kind the name of the destination's kind; unknown names are allowed
 * @param zone the name of the zone in which it stands
 * @param ratePerSecond calls a second for all relays together, as far as the settings' {@link RateHint} trusts it
 */
public record EndpointEntry(
        String route, int destination, String kind, String zone, Availability availability, double ratePerSecond) {
    /** The same endpoint with another availability. */
    public EndpointEntry withAvailability(Availability newAvailability) {
        return new EndpointEntry(route, destination, kind, zone, newAvailability, ratePerSecond);
    }
}
