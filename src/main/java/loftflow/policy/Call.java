package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/** One call to a route, which may carry several messages. */
final class Call {
    /** Null for a call made before a restart if its route is no longer known. */
    final Route route;

    final long sentAtMicros;
    /** True if the call tests whether an open circuit may close. */
    final boolean isProbe;

    final List<PendingMessage> messages = new ArrayList<>(1);
    /** Number of attempts of this call without an outcome. */
    int pendingOutcomes;
    /**
     * True once its outcome has been applied to its route and group; outcomes of further messages are not applied
     * again.
     */
    boolean isEvaluated;

    boolean isCancelled;

    Call(Route route, long sentAtMicros, boolean isProbe) {
        this.route = route;
        this.sentAtMicros = sentAtMicros;
        this.isProbe = isProbe;
    }
}
