package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/** A full endpoint list, or a delta to one, with its revision. Immutable. */
public record ListUpdate(EndpointListKind kind, long revision, List<ListedEndpoint> entries) {
    public ListUpdate {
        entries = List.copyOf(entries);
    }
}
