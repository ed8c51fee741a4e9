package pipitstage.lab.model;

import java.util.HashMap;
import java.util.Map;

/** What partners know of the keys of messages that have run there, each for its class's window. */
public final class Keys {
    private record Where(int ask, int partner, String building) { }

    private final Map<Where, Long> ran = new HashMap<>();

    /** True where a message is new there, and runs now. */
    public boolean runs(int ask, int partner, String building, long now, long window) {
        Long before = ran.get(new Where(ask, partner, building));
        if (before != null && now - before < window) {
            return false;
        }
        ran.put(new Where(ask, partner, building), now);
        return true;
    }
}
