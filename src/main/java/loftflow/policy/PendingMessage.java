package loftflow.policy;

import java.util.ArrayList;
import java.util.List;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.RequestClass;

final class PendingMessage {
    final long id;
    final RequestClass type;
    final String key;
    final long acceptedAt;
    final long deadline;
    final Destination destination;
    final List<Attempt> attempts = new ArrayList<>();
    int out;
    boolean done;
    /** Over, but whoever is to hear so has not. */
    boolean unheard;
    /** A restart has found it. */
    boolean resumed;

    PendingMessage(MessageAccepted e, RequestClass type, Destination destination) {
        id = e.id();
        this.type = type;
        key = type.ordered() ? e.key() : null;
        deadline = e.deadlineMicros();
        acceptedAt = deadline - type.deadlineMicros();
        this.destination = destination;
    }

    /** True while a call is still owed to what a restart has found: nobody else can make one. */
    boolean isUntried() {
        return resumed && attempts.isEmpty();
    }

    Route lastRoute() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
    }
}
