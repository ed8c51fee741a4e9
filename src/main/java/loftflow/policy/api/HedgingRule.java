package loftflow.policy.api;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides whether a message may be outstanding twice: whether an attempt may start while an earlier one may still be
 * executed on an open connection. The limits of the relay and the class of the message must both allow it. An attempt's
 * outcome is not the end of its call: an attempt that timed out is outstanding until its call is answered or its
 * connection closes. Immutable.
 */
public final class HedgingRule {
    private final Set<String> hedgedClasses;

    /** Creates the rule of a relay. */
    public HedgingRule(PolicySettings settings) {
        hedgedClasses = settings.classes().stream()
                .filter(requestClass -> mayHedge(settings.limits(), requestClass))
                .map(RequestClass::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** A non-idempotent message is sent again only where no earlier attempt can be executed any more. */
    private static boolean mayHedge(RelayLimits limits, RequestClass requestClass) {
        return limits.hedgedAttempts()
                && requestClass.hedgedAttempts()
                && requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** Returns whether a message of a class may be outstanding twice; false if the settings do not define the class. */
    public boolean mayHedge(String requestClass) {
        return hedgedClasses.contains(requestClass);
    }
}
