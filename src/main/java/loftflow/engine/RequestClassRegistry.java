package loftflow.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RequestClass;

/** The request classes and tenants that the settings name. */
final class RequestClassRegistry {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();

    RequestClassRegistry(PolicySettings settings) {
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
    }

    /** True where the settings name the class of a message. */
    boolean contains(Message message) {
        return classes.containsKey(message.content().requestClass());
    }

    /** True where class and tenant are known and the idempotency key is present if the class needs one. */
    boolean isValid(Message.Content content) {
        RequestClass requestClass = classes.get(content.requestClass());
        return requestClass != null
                && (requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY || content.key() != null)
                && (tenants.isEmpty() || tenants.contains(content.tenant()));
    }

    /** True where messages of this class are delivered in order. */
    boolean isOrdered(Message message) {
        RequestClass requestClass = classes.get(message.content().requestClass());
        return requestClass != null && requestClass.ordered();
    }
}
