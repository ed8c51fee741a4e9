package pipitstage.engine;

import java.util.List;
import pipitstage.Policy.ListKind;

/** Takes in what discovery, or a list on file, tells of hosts. */
public interface Membership {
    /** A whole list or changes to it, with its version. */
    void list(ListKind kind, long version, List<Target> targets);
}
