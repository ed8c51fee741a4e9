package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the calls in flight, in total and per group. The relay's limit bounds the total. A single group gets a share
 * of it, which is smaller while its route is slow or few slots are free, so that no destination occupies every slot.
 */
final class ConcurrencyLimiter {
    /** Share of the call slots that one group may use. */
    private static final double GROUP_SHARE = 0.5;

    /** Share of a group with a slow route, and of every group while slots are scarce. */
    private static final double SCARCE_GROUP_SHARE = 0.2;

    /** Slots are scarce if more than this share of them is in use. */
    private static final double SCARCE_FROM_SHARE = 0.75;

    private final RoundContext context;
    private final OutlierDetector outliers;
    /** Oldest first. */
    private final Set<Call> callsInFlight = new LinkedHashSet<>();

    ConcurrencyLimiter(RoundContext context, OutlierDetector outliers) {
        this.context = context;
        this.outliers = outliers;
    }

    void onSent(Call call) {
        callsInFlight.add(call);
        call.route.group.callsInFlight++;
        call.route.callsInFlight.add(call);
    }

    void onEnded(Call call) {
        callsInFlight.remove(call);
        call.route.callsInFlight.remove(call);
        call.route.group.callsInFlight--;
    }

    boolean hasFreeSlot() {
        return callsInFlight.size() < context.settings().limits().maxConcurrentCalls();
    }

    /** Returns whether the route's group has used up its share of the call slots. */
    boolean isGroupAtLimit(Route route) {
        int slots = context.settings().limits().maxConcurrentCalls();
        boolean slow =
                route.responseTimeMicros > RouteScorer.SLOW_RESPONSE_MICROS / 2 || outliers.isUnresponsive(route, 0.5);
        boolean scarce = slow || callsInFlight.size() > slots * SCARCE_FROM_SHARE;
        double share = scarce ? SCARCE_GROUP_SHARE : GROUP_SHARE;
        return route.group.callsInFlight >= (int) Math.ceil(slots * share);
    }

    /**
     * Cancels overdue calls, the oldest first, to free call slots.
     *
     * @param slotsNeeded number of messages that found no free slot
     */
    void cancelOverdueCalls(int slotsNeeded) {
        if (slotsNeeded == 0 || !context.settings().limits().cancellation()) {
            return;
        }
        List<Call> overdue = callsInFlight.stream()
                .filter(call -> !call.isCancelled && outliers.overdueAt(call) <= context.now())
                .limit(slotsNeeded)
                .toList();
        for (Call call : overdue) {
            call.isCancelled = true;
            for (PendingMessage message : call.messages) {
                cancelAttempts(message, call);
            }
        }
    }

    private void cancelAttempts(PendingMessage message, Call call) {
        for (int i = 0; i < message.attempts.size(); i++) {
            Attempt attempt = message.attempts.get(i);
            if (attempt.call == call && attempt.outcome == null) {
                context.actions().cancel(message.id, i);
            }
        }
    }

    /** Returns when the next call in flight becomes overdue, or {@code latestMicros} if that is earlier. */
    long nextOverdueAtMicros(long latestMicros) {
        long next = latestMicros;
        for (Call call : callsInFlight) {
            long overdueAt = outliers.overdueAt(call);
            next = overdueAt > context.now() ? Math.min(next, overdueAt) : next;
        }
        return next;
    }
}
