package loftflow.experiment.emulator;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.RuleLimits;

/**
 * Decides when a recovering endpoint collapses: it does so under more calls in a window than a multiple of its reduced
 * capacity, and stays down. Also tracks which relays have observed the last outage, so that a collapse can be
 * attributed to relays that had reason to hold back (BRIEF, rule 4).
 */
final class CollapseDetector {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private record RecentCall(long atMicros, boolean informed) {}

    private final int endpoint;
    private final double capacityPerSecond;
    private final RuleLimits limits;
    private final RunHistory history;
    private final ArrayDeque<RecentCall> recentCalls = new ArrayDeque<>();
    /** Relays that have received a failure or rejection of a call or probe in the last outage. */
    private final Set<Integer> informedRelays = new HashSet<>();
    /** Relays that are waiting for a response that will not come. */
    private final Set<Integer> waitingRelays = new HashSet<>();

    private int recentInformedCalls;
    private boolean inOutage;
    private boolean collapsed;

    CollapseDetector(int endpoint, double capacityPerSecond, RuleLimits limits, RunHistory history) {
        this.endpoint = endpoint;
        this.capacityPerSecond = capacityPerSecond;
        this.limits = limits;
        this.history = history;
    }

    /** True once the endpoint has collapsed; it does not recover. */
    boolean hasCollapsed() {
        return collapsed;
    }

    /** A call or probe has arrived while the endpoint has only a share of its capacity. */
    void onCallWhileCold(int relay, long nowMicros, double capacityShare) {
        boolean informed = informedRelays.contains(relay);
        recentCalls.add(new RecentCall(nowMicros, informed));
        recentInformedCalls += informed ? 1 : 0;
        while (nowMicros - recentCalls.peek().atMicros() > limits.collapseWindowMicros()) {
            recentInformedCalls -= recentCalls.poll().informed() ? 1 : 0;
        }
        double maxCalls = limits.collapseLoadFactor()
                * capacityPerSecond
                * capacityShare
                * limits.collapseWindowMicros()
                / MICROS_PER_SECOND;
        if (!collapsed && recentCalls.size() > Math.max(2, maxCalls)) {
            collapsed = true;
            history.addCollapse(new RunHistory.EndpointCollapse(
                    endpoint,
                    nowMicros,
                    recentCalls.size(),
                    capacityPerSecond * capacityShare,
                    (double) recentInformedCalls / recentCalls.size()));
        }
    }

    /**
     * A call or probe has been processed.
     *
     * @param outage whether the endpoint is in an outage now; the start of one forgets who observed the previous one
     */
    void onResult(int relay, EmulatedEndpoint.CallResult result, boolean outage) {
        if (outage && !inOutage) {
            informedRelays.clear();
            waitingRelays.clear();
        }
        inOutage = outage;
        if (outage && result.response() != MessageHistory.Response.DELIVERED) {
            (result.respondAtMicros() < 0 ? waitingRelays : informedRelays).add(relay);
        }
    }

    /** A relay has stopped waiting for a response: from now on it counts as informed of the outage. */
    void onAbandonedBy(int relay) {
        if (waitingRelays.remove(relay)) {
            informedRelays.add(relay);
        }
    }
}
