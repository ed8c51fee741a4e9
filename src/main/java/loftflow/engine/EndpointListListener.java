package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/** Receives the endpoint lists that come from discovery or from a file. */
public interface EndpointListListener {
    /**
     * Called with a full list or with a delta to it, on the event loop.
     *
     * @param version the version of the list after this update
     */
    void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints);
}
