package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/** One call to a route; it may carry several messages. */
final class Call {
    /** Null for a call of before a restart whose route is not known any more. */
    final Route route;

    final long sentAtMicros;
    /** Sent to find out whether an open circuit may close. */
    final boolean isProbe;

    final List<PendingMessage> messages = new ArrayList<>(1);
    /** Attempts of this call without an outcome. */
    int pendingOutcomes;
    /** Its outcome has been applied to its route and group; further messages of the call add nothing. */
    boolean isEvaluated;

    boolean isCancelled;

    Call(Route route, long sentAtMicros, boolean isProbe) {
        this.route = route;
        this.sentAtMicros = sentAtMicros;
        this.isProbe = isProbe;
    }
}
