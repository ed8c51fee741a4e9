package loftflow.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.policy.api.EndpointListKind;

/** The destinations that endpoint lists have named so far, and whether a full list has been received. */
final class DestinationRegistry {
    private final Set<Integer> destinations = new HashSet<>();
    private boolean hasAnyList;
    private boolean hasFullList;

    void addDestinationsOf(List<Endpoint> endpoints) {
        endpoints.forEach(endpoint -> destinations.add(endpoint.entry().destination()));
    }

    /** Records that a list of that kind is in force. A delta to a cached list does not make it a full one. */
    void markListReceived(EndpointListKind kind) {
        hasAnyList = true;
        hasFullList |= kind == EndpointListKind.FULL;
    }

    /** True once any list, also a cached one, has been received. */
    boolean isReady() {
        return hasAnyList;
    }

    /** True where a list names the destination. */
    boolean contains(int destination) {
        return destinations.contains(destination);
    }

    /** True where a list names the destination, or where the full list that might name it is still missing. */
    boolean mayContain(int destination) {
        return contains(destination) || !hasFullList;
    }
}
