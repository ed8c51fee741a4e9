package loftflow.engine;

import java.util.ArrayList;
import java.util.List;
import loftflow.engine.UpstreamClient.OutboundAttempt;
import loftflow.policy.api.CallSharing;

/** Groups the attempts of one round to one route into calls, in their order. */
public final class CallBatcher {
    /** The limits on the size of one call. */
    @FunctionalInterface
    public interface Capacity {
        /** Returns whether another attempt fits into a call that carries others. */
        boolean hasRoom(List<OutboundAttempt> call, OutboundAttempt next);
    }

    private final Capacity capacity;
    private final List<List<OutboundAttempt>> complete = new ArrayList<>();
    private final List<List<OutboundAttempt>> open = new ArrayList<>();

    private CallBatcher(Capacity capacity) {
        this.capacity = capacity;
    }

    /** Returns the attempts of each call; attempts share one only if {@link CallSharing} allows it. */
    public static List<List<OutboundAttempt>> split(List<OutboundAttempt> attempts, Capacity capacity) {
        CallBatcher batcher = new CallBatcher(capacity);
        attempts.forEach(batcher::add);
        batcher.complete.addAll(batcher.open);
        return batcher.complete;
    }

    private void add(OutboundAttempt next) {
        if (next.sharing() == CallSharing.NONE) {
            complete.add(List.of(next));
            return;
        }
        List<OutboundAttempt> call = findCompatible(next);
        if (call != null && !capacity.hasRoom(call, next)) {
            open.remove(call);
            complete.add(call);
            call = null;
        }
        if (call == null) {
            call = new ArrayList<>();
            open.add(call);
        }
        call.add(next);
    }

    /** Returns the first unfinished call whose attempts may all travel with another; null if there is none. */
    private List<OutboundAttempt> findCompatible(OutboundAttempt next) {
        return open.stream()
                .filter(call -> next.sharing()
                        .isCompatibleWithAll(
                                call.stream().map(OutboundAttempt::sharing).toList()))
                .findFirst()
                .orElse(null);
    }
}
