package loftflow.policy.api;

import java.util.List;

/** News of the route list. */
public record EndpointListReceived(EndpointListKind kind, long version, List<EndpointEntry> entries)
        implements PolicyEvent {}
