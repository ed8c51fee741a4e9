package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/** One call at a destination, which may carry several requests. */
final class Call {
    final Route route;
    final long sentAt;
    final boolean test;
    final List<PendingMessage> requests = new ArrayList<>(1);
    int pending;
    boolean judged;
    boolean dropped;

    Call(Route route, long sentAt, boolean test) {
        this.route = route;
        this.sentAt = sentAt;
        this.test = test;
    }
}
