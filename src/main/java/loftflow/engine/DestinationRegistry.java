package loftflow.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.policy.api.EndpointListKind;

/** Tracks the destinations that endpoint lists have named so far, and whether a full list has been received. */
final class DestinationRegistry {
    private final Set<Integer> destinations = new HashSet<>();
    private boolean hasAnyList;
    private boolean hasFullList;

    void addDestinationsOf(List<Endpoint> endpoints) {
        endpoints.forEach(endpoint -> destinations.add(endpoint.entry().destination()));
    }

    /** Records that a list of this kind was received. A delta to a cached list does not make that a full list. */
    void markListReceived(EndpointListKind kind) {
        hasAnyList = true;
        hasFullList |= kind == EndpointListKind.FULL;
    }

    /** Returns whether any list, possibly a cached one, has been received. */
    boolean isReady() {
        return hasAnyList;
    }

    /** Returns whether a received list names the destination. */
    boolean contains(int destination) {
        return destinations.contains(destination);
    }

    /** Returns whether a received list names the destination, or no full list, which might name it, has arrived yet. */
    boolean mayContain(int destination) {
        return contains(destination) || !hasFullList;
    }
}
