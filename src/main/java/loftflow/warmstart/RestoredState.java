package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.RouteRestored;

/**
 * The state with which a relay starts.
 *
 * @param endpoints the endpoints whose trust is not {@link EndpointTrust#NEVER}
 * @param revision revision of the list that names them; -1 if there was no list
 * @param restoredRoutes the routes that the decision module receives, one for each endpoint restored from a snapshot
 * @param logLines lines to log
 */
public record RestoredState(
        List<ListedEndpoint> endpoints, long revision, List<RouteRestored> restoredRoutes, List<String> logLines) {}
