package loftflow.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;

/**
 * Holds the routes, limit groups and destinations that discovery has listed. A route that is no longer listed accepts
 * no new messages; it is removed once neither a call nor a health check to it is in flight and no Retry-After applies.
 * Messages keep their references to removed routes.
 */
final class EndpointRegistry {
    private final RoundContext context;
    private final RouteScorer scorer;
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<Integer, LimitGroup> groups = new HashMap<>();
    private long awaitListUntilMicros;

    EndpointRegistry(RoundContext context, RouteScorer scorer) {
        this.context = context;
        this.scorer = scorer;
        context.settings().kinds().forEach(kind -> kinds.put(kind.name(), kind));
    }

    /** Returns the route with a name, or null if there is none. */
    Route route(String name) {
        return routes.get(name);
    }

    Collection<Route> routes() {
        return routes.values();
    }

    /** Returns the group with an id, or null if there is none. */
    LimitGroup group(int id) {
        return groups.get(id);
    }

    /** Returns the destination with a number, and creates it if necessary. */
    Destination destination(int number) {
        return destinations.computeIfAbsent(number, key -> new Destination());
    }

    /**
     * Suspends sending until a newer list arrives or the wait is over, as the list in force is from before a restart.
     */
    void awaitList(long maxWaitMicros) {
        awaitListUntilMicros = context.now() + maxWaitMicros;
    }

    boolean isAwaitingList() {
        return context.now() < awaitListUntilMicros;
    }

    long awaitListUntilMicros() {
        return awaitListUntilMicros;
    }

    /** Applies a complete list or a delta. */
    void apply(EndpointListReceived list) {
        awaitListUntilMicros = context.now();
        if (list.kind() != EndpointListKind.DELTA) {
            routes.values().forEach(route -> route.listed = false);
        }
        for (EndpointEntry entry : list.entries()) {
            Route route = routes.computeIfAbsent(entry.route(), name -> newRoute(entry));
            route.listed = entry.availability() == Availability.LISTED;
            route.listedRatePerSecond = entry.ratePerSecond();
            route.addressUnverified &= list.kind() == EndpointListKind.CACHED;
            route.lastResort &= route.addressUnverified;
        }
        List.copyOf(routes.values()).forEach(this::removeIfUnused);
    }

    private Route newRoute(EndpointEntry entry) {
        Destination destination = destination(entry.destination());
        DestinationKind kind = kinds.get(entry.kind());
        boolean independent = kind != null && kind.independentRoutes();
        int groupId = independent ? entry.route().hashCode() : entry.destination();
        LimitGroup group = groups.computeIfAbsent(groupId, LimitGroup::new);
        Circuit circuit = independent ? group.circuit : new Circuit();
        int maxBatchSize = kind == null ? 1 : kind.maxBatchSize();
        Route route = new Route(entry, destination, group, circuit, maxBatchSize, scorer.localityBonus(entry.zone()));
        group.routes.add(route);
        destination.routes.put(route.name, route);
        return route;
    }

    /** Removes a route if it is not listed, no call or health check is in flight and no Retry-After applies. */
    void removeIfUnused(Route route) {
        LimitGroup group = route.group;
        boolean isInUse = !route.callsInFlight.isEmpty() || !route.healthChecksInFlight.isEmpty();
        if (route.listed || isInUse || context.now() < group.retryNotBeforeMicros) {
            return;
        }
        routes.remove(route.name);
        route.destination.routes.remove(route.name);
        group.routes.remove(route);
        boolean isIndependentGroup = route.circuit == group.circuit;
        if (group.routes.isEmpty() && isIndependentGroup) {
            groups.remove(group.id);
        }
    }
}
