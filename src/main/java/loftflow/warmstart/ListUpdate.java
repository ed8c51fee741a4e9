package loftflow.warmstart;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/** A whole list or changes of it, with its revision. */
public record ListUpdate(EndpointListKind kind, long revision, List<ListedEndpoint> entries) {
    public ListUpdate {
        entries = List.copyOf(entries);
    }
}
