package loftflow.policy.api;

/** A route as listed. {@code rate} means what the settings' {@link RateHint} says. */
public record EndpointEntry(
        String route, int destination, String kind, String zone, Availability availability, double ratePerSecond) {}
