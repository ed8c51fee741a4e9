package loftflow.policy.api;

/** A listed route is known from before a restart; comes with the list, before anything goes to the route. */
public record RouteRestored(TrustLevel trust, RouteSnapshot snapshot) implements PolicyEvent {}
