package loftflow.experiment.emulator;

import java.util.HashMap;
import java.util.Map;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** What partners know of the keys of messages that have run there, each for its class's window. */
public final class IdempotencyKeys {
    private record Where(int ask, int partner, String building) {}

    private final Map<Where, Long> ran = new HashMap<>();

    /** True where a message that an endpoint runs now takes effect there: it has no key, or its key is new. */
    public boolean takesEffect(int ask, int partner, Scenario.MessageClass type, Scenario.Endpoint endpoint, long now) {
        if (type.repeat() != Idempotency.IDEMPOTENT_BY_KEY) {
            return true;
        }
        Where where = new Where(ask, partner, type.keysByBuilding() ? endpoint.building() : "");
        Long before = ran.get(where);
        if (before != null && now - before < type.keyWindow()) {
            return false;
        }
        ran.put(where, now);
        return true;
    }
}
