package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * How many calls may be in flight, at once and to one group? The relay's limit bounds all of them; a single group gets
 * a share of that, a small one while its route is slow or few slots are left, so that no destination occupies every
 * slot.
 */
final class ConcurrencyLimiter {
    private static final double GROUP_SHARE = 0.5;

    /** Share of a group with a slow route, and of every group while slots are scarce. */
    private static final double SCARCE_GROUP_SHARE = 0.2;

    /** Slots are scarce when more than this share of them is in use. */
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

    /** True where the route's group has used up its share of the slots. */
    boolean isGroupAtLimit(Route route) {
        int slots = context.settings().limits().maxConcurrentCalls();
        boolean slow =
                route.responseTimeMicros > RouteScorer.SLOW_RESPONSE_MICROS / 2 || outliers.isUnresponsive(route, 0.5);
        boolean scarce = slow || callsInFlight.size() > slots * SCARCE_FROM_SHARE;
        double share = scarce ? SCARCE_GROUP_SHARE : GROUP_SHARE;
        return route.group.callsInFlight >= (int) Math.ceil(slots * share);
    }

    /** Cancels overdue calls, the oldest first, so that as many slots become free as messages need one. */
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

    /** When the next call in flight becomes overdue; {@code otherwise} where that is earlier, or none will. */
    long nextOverdueAtMicros(long otherwise) {
        long next = otherwise;
        for (Call call : callsInFlight) {
            long overdueAt = outliers.overdueAt(call);
            next = overdueAt > context.now() ? Math.min(next, overdueAt) : next;
        }
        return next;
    }
}
