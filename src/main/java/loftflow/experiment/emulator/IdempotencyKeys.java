package loftflow.experiment.emulator;

import java.util.HashMap;
import java.util.Map;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** The idempotency keys that partners remember, each for the key window of its message class. */
public final class IdempotencyKeys {
    /** The scope of a key: one zone of a partner, or the whole partner with an empty zone. */
    private record KeyScope(int message, int partner, String zone) {}

    private final Map<KeyScope, Long> executedAtMicros = new HashMap<>();

    /**
     * Returns whether a message that an endpoint executes now takes effect: it has no key, or its key is unknown there.
     *
     * @param message number of the message, which stands for its key
     */
    public boolean takesEffect(
            int message, int partner, Scenario.MessageClass messageClass, Scenario.Endpoint endpoint, long nowMicros) {
        if (messageClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY) {
            return true;
        }
        KeyScope scope = new KeyScope(message, partner, messageClass.keysByZone() ? endpoint.zone() : "");
        Long previousMicros = executedAtMicros.get(scope);
        if (previousMicros != null && nowMicros - previousMicros < messageClass.keyWindowMicros()) {
            return false;
        }
        executedAtMicros.put(scope, nowMicros);
        return true;
    }
}
