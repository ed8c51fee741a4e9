package pipitstage.remembered;

import java.util.List;
import pipitstage.Policy.ListKind;

/** A whole list or changes of it, with its revision. */
public record Told(ListKind kind, long revision, List<Listing> entries) {
    public Told {
        entries = List.copyOf(entries);
    }
}
