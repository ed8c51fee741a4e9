package loftflow.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RequestClass;

/** The request classes and tenants in the settings. */
final class RequestClassRegistry {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();

    RequestClassRegistry(PolicySettings settings) {
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    }

    /** Returns whether the request class of a message is in the settings. */
    boolean contains(Message message) {
        return classes.containsKey(message.content().requestClass());
    }

    /** Returns whether class and tenant are known and the idempotency key is present if the class requires one. */
    boolean isValid(Message.Content content) {
        RequestClass requestClass = classes.get(content.requestClass());
        return requestClass != null
                && (requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY || content.key() != null)
                && (tenants.isEmpty() || tenants.contains(content.tenant()));
    }

    /** Returns whether another attempt is harmless at any time, so that an attempt may be missing from the journal. */
    boolean mayRepeatAtAnyTime(Message message) {
        RequestClass requestClass = classes.get(message.content().requestClass());
        return requestClass != null && requestClass.idempotency() == Idempotency.IDEMPOTENT && !requestClass.ordered();
    }

    /** Returns whether messages of its class are delivered in order. */
    boolean isOrdered(Message message) {
        RequestClass requestClass = classes.get(message.content().requestClass());
        return requestClass != null && requestClass.ordered();
    }
}
