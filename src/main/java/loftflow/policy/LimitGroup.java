package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/** What shares one limit: a route where routes are apart, else all routes of the destination. */
final class LimitGroup {
    final int number;
    final Circuit circuit = new Circuit();
    final List<Route> routes = new ArrayList<>();
    final DecayingCounter served = new DecayingCounter();
    final DecayingCounter sent = new DecayingCounter();
    double pace = Double.POSITIVE_INFINITY;
    /**
     * True from the first cut to the next one, where no limit is known: the pace is far below or above what is borne.
     */
    boolean seeking;

    long nextAt;
    long waitUntil;
    long cutAt = Long.MIN_VALUE / 2;
    long grownAt;
    int refusals;
    long refusedSince;
    double reportedRate;
    double usualRate;
    long releasedAt = Long.MIN_VALUE / 2;
    int calls;
    boolean asked;
    boolean reports;
    long askedAt;
    long turnUntil;
    long guardedUntil;
    final PermitLedger keeper = new PermitLedger();

    LimitGroup(int number) {
        this.number = number;
    }
}
