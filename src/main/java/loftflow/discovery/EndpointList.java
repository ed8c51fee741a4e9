package loftflow.discovery;

import java.util.List;
import loftflow.engine.Endpoint;

/**
 * A parsed response of discovery.
 *
 * @param revision the revision of the list; increases at one discovery service, but may be lower at another one
 * @param isFull true if the entries are all endpoints, false if they are the changed ones
 * @param isComplete false if an entry could not be parsed, so that its content has to be requested again
 */
record EndpointList(long revision, boolean isFull, List<Endpoint> endpoints, boolean isComplete) {}
