package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/** Receives the endpoint lists of discovery or of a file. */
public interface EndpointListListener {
    /**
     * A full list, or changes to it. To be called on the event loop.
     *
     * @param version the version of the list after this update
     */
    void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints);
}
