package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/** Takes in what discovery, or a list on file, tells of hosts. */
public interface EndpointListListener {
    /** A whole list or changes to it, with its version. */
    void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets);
}
