package loftflow.policy.api;

import java.util.List;

/**
 * An endpoint list arrived, or a request for it failed.
 *
 * @param version version of the list; 0 if it has none
 * @param entries empty if the request failed
 */
public record EndpointListReceived(EndpointListKind kind, long version, List<EndpointEntry> entries)
        implements PolicyEvent {}
