package loftflow.policy.api;

/** A listed route is known from before a restart. Comes with the list, before anything is sent to the route. */
public record RouteRestored(TrustLevel trust, RouteSnapshot snapshot) implements PolicyEvent {}
