package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.RouteRestored;

/**
 * What a relay starts with.
 *
 * @param endpoints the endpoints with any trust at all
 * @param revision revision of the list that they come from; -1 where there was none
 * @param restoredRoutes what the decision module receives for each of them
 * @param logLines lines to log
 */
public record RestoredState(
        List<ListedEndpoint> endpoints, long revision, List<RouteRestored> restoredRoutes, List<String> logLines) {}
