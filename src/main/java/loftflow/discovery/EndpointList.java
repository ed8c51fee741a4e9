package loftflow.discovery;

import java.util.List;
import loftflow.engine.Endpoint;

/**
 * An answer of discovery.
 *
 * @param revision counts the lists of one discovery service; may go back with another one
 * @param isFull true where the entries are all endpoints, false where they are those that changed
 * @param isComplete false where an entry could not be read: what it says has still to be requested
 */
record EndpointList(long revision, boolean isFull, List<Endpoint> endpoints, boolean isComplete) {}
