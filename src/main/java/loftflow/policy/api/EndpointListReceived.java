package loftflow.policy.api;

import java.util.List;

/**
 * The endpoint list, or changes of it, arrived, or a request for it failed.
 *
 * @param version of the list; 0 where it has none
 * @param entries empty where the request failed
 */
public record EndpointListReceived(EndpointListKind kind, long version, List<EndpointEntry> entries)
        implements PolicyEvent {}
