package loftflow.policy.api;

/** The state of a listed route from before a restart. Arrives with the list, before anything is sent to the route. */
public record RouteRestored(TrustLevel trust, RouteSnapshot snapshot) implements PolicyEvent {}
